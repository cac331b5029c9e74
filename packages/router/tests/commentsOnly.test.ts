import { describe, expect, it } from 'vitest';
import { createTestRoute } from './support/createTestRoute.js';
import { RequestQueue } from './support/requestQueue.js';
import { sendRequest } from './support/sendRequest.js';
import { startRawTarget } from './support/startRawTarget.js';
import { startTestRouter } from './support/startTestRouter.js';
import { toChunk } from './support/toChunk.js';
import { toEvent } from './support/toEvent.js';

const HEAD =
  'HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
const COMMENT = toChunk(': working\n\n');
const LAST_CHUNK = '0\r\n\r\n';
const ERROR = 'HTTP/1.1 500 Oh\r\nAttempt: a1\r\nSeal: s\r\nContent-Length: 5\r\n\r\nerror';

/** Plays a resumable stream whose first target sends a comment and breaks off; returns all that its caller receives. */
const playSecondAnswer = async (answer: string): Promise<string> => {
  const queue = new RequestQueue();
  await using first = await startRawTarget(queue);
  await using second = await startRawTarget(queue);
  await using router = await startTestRouter([first, second]);
  const caller = sendRequest(router, '/resumableStream/x', 'Connection: close\r\n');
  const broken = await queue.next();
  broken.socket.write(HEAD + COMMENT);
  await caller.waitForText(COMMENT);
  broken.socket.resetAndDestroy();
  (await queue.next()).socket.write(answer);
  return await caller.whenClosed;
};

describe('a stream of which nothing but comments has come', () => {
  // Guards against CONFIG: such a stream hung beyond its time limit until its caller left.
  it.each(['stream', 'resumableStream'] as const)(
    'is broken off at its time limit (%s)',
    async (kind) => {
      await using target = await startRawTarget();
      await using router = await startTestRouter([target], {
        routes: [{ ...createTestRoute(kind), timeoutMs: 300 }],
      });
      const caller = sendRequest(router, `/${kind}/x`);
      (await target.nextRequest()).socket.write(HEAD + COMMENT);
      expect((await caller.whenClosed).endsWith(COMMENT)).toBe(true);
    },
  );

  // Guards against MIXED: the body of an error came under the head of the first target's 200.
  it('is broken off if the next target answers with an error', async () => {
    expect((await playSecondAnswer(ERROR)).endsWith(COMMENT)).toBe(true);
  });

  it('is continued by the events of the next target', async () => {
    const events = toChunk(toEvent(1)) + LAST_CHUNK;
    expect((await playSecondAnswer(HEAD + events)).endsWith(COMMENT + events)).toBe(true);
  });
});
