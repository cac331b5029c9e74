import { describe, expect, it } from 'vitest';
import { RequestQueue } from './support/requestQueue.js';
import { sendRequest } from './support/sendRequest.js';
import { startRawTarget } from './support/startRawTarget.js';
import { startTestRouter } from './support/startTestRouter.js';
import { toChunk } from './support/toChunk.js';
import { toEvent } from './support/toEvent.js';

const HEAD =
  'HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';
const WHOLE_STREAM = toChunk(toEvent(1)) + toChunk(toEvent(2)) + LAST_CHUNK;

// Guards against ORDER: an answer without any event of a run was passed on as a complete stream.
describe('a stream that ends without an event', () => {
  it('is answered as one whose outcome is unknown', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = sendRequest(router, '/stream/x', 'Connection: close\r\n');
    const { socket } = await target.nextRequest();
    socket.write(HEAD + LAST_CHUNK);
    expect(await caller.whenClosed).toMatch(/^HTTP\/1.1 502 /);
  });

  it('is repeated at another target if it may be resumed', async () => {
    const queue = new RequestQueue();
    await using first = await startRawTarget(queue);
    await using second = await startRawTarget(queue);
    await using router = await startTestRouter([first, second]);
    const caller = sendRequest(router, '/resumableStream/x');
    (await queue.next()).socket.write(HEAD + LAST_CHUNK);
    (await queue.next()).socket.write(HEAD + WHOLE_STREAM);
    expect((await caller.waitForText(LAST_CHUNK)).endsWith(WHOLE_STREAM)).toBe(true);
  });

  it('is complete if the caller had the last event already', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = sendRequest(router, '/resumableStream/x', 'Last-Event-Id: 2\r\n');
    (await target.nextRequest()).socket.write(HEAD + LAST_CHUNK);
    expect((await caller.waitForText(LAST_CHUNK)).startsWith('HTTP/1.1 200 OK')).toBe(true);
  });
});
