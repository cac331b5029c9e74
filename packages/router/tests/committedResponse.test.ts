import { describe, expect, it } from 'vitest';
import { RequestQueue } from './support/requestQueue.js';
import { sendRequest } from './support/sendRequest.js';
import { startRawTarget } from './support/startRawTarget.js';
import { startTestRouter } from './support/startTestRouter.js';

/** Responses up to this size are relayed when they are complete. */
const BUFFERED_BYTES = 262_144;
const OTHER_BODY = 'b'.repeat(10);

const writeHead = (status: string, length: number): string =>
  `HTTP/1.1 ${status}\r\nAttempt: a1\r\nSeal: s\r\nContent-Type: text/plain\r\nContent-Length: ${length}\r\n\r\n`;

/** The first target breaks off in the middle of a body; another one would answer with `OTHER_BODY`. */
const playBrokenBody = async (path: string, status: string, sentBytes: number) => {
  const queue = new RequestQueue();
  await using first = await startRawTarget(queue);
  await using second = await startRawTarget(queue);
  await using router = await startTestRouter([first, second]);
  const caller = sendRequest(router, path, 'Connection: close\r\n');
  const broken = await queue.next();
  broken.socket.end(writeHead(status, sentBytes + 1) + 'a'.repeat(sentBytes));
  const answerAgain = async (): Promise<void> => {
    const { socket } = await queue.next();
    socket.write(writeHead('200 OK', OTHER_BODY.length) + OTHER_BODY);
  };
  void answerAgain();
  const received = await caller.whenClosed;
  return { received, sends: first.countRequests() + second.countRequests() };
};

// Guards against MIXED: a complete 200 held the beginning of one run's body and the whole of another's.
describe('a body that a target breaks off', () => {
  it('is repeated at another target while the caller has nothing of it', async () => {
    const { received, sends } = await playBrokenBody('/idempotent/x', '200 OK', BUFFERED_BYTES - 1);
    expect(sends).toBe(2);
    expect(received.endsWith(`\r\n\r\n${OTHER_BODY}`)).toBe(true);
  });

  it.each([BUFFERED_BYTES + 1, 2 * BUFFERED_BYTES])(
    'is continued by no other target once the caller has a part of it (%i bytes)',
    async (sentBytes) => {
      const { received, sends } = await playBrokenBody('/idempotent/x', '200 OK', sentBytes);
      expect(sends).toBe(1);
      expect(received).not.toContain('b'.repeat(3));
      expect(received.endsWith('0\r\n\r\n')).toBe(false);
    },
  );

  it('is continued by no stream either, if it is the body of an error', async () => {
    const { received, sends } = await playBrokenBody('/resumableStream/x', '404 Not Found', 100);
    expect(sends).toBe(1);
    expect(received).toContain('404 Not Found');
    expect(received.endsWith('0\r\n\r\n')).toBe(false);
  });
});
