import { expect, it } from 'vitest';
import type { Logger } from '../src/index.js';
import { sendRequest } from './support/sendRequest.js';
import { silentLogger } from './support/silentLogger.js';
import { startRawTarget } from './support/startRawTarget.js';
import { startTestRouter } from './support/startTestRouter.js';
import { toChunk } from './support/toChunk.js';
import { toEvent } from './support/toEvent.js';

const HEAD =
  'HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
const EVENTS = toChunk(toEvent(1)) + toChunk(toEvent(2));

type Decision = Parameters<Logger['writeDecision']>[0];

/** Sends the text as the response to a stream's request; returns the fields of the decisions with this name. */
const playResponse = async (text: string, name: Decision['name']) => {
  const decisions: Decision[] = [];
  await using target = await startRawTarget();
  await using router = await startTestRouter([target], {
    logger: { ...silentLogger, writeDecision: (decision) => decisions.push(decision) },
  });
  const caller = sendRequest(router, '/stream/x', 'Connection: close\r\n');
  const { socket } = await target.nextRequest();
  socket.write(text);
  await caller.whenClosed;
  return decisions.filter((decision) => decision.name === name).map(({ fields }) => fields);
};

// Guards against lines by which on-call engineers can't tell who made an event that reached a caller.
it('tells of a malformed stream at which event it was noticed, and what had been relayed before', async () => {
  const text = `${HEAD}${EVENTS}${toChunk(`id: ${'9'.repeat(60)}\ndata: x\n\n`)}`;
  expect(await playResponse(text, 'sendFailed')).toMatchObject([
    {
      failure: 'malformed',
      responseFault: 'noNumber',
      eventId: '9'.repeat(48),
      lastEventId: '2',
      mediaType: 'text/event-stream',
    },
  ]);
});

it('tells with which event a stream ended, its media type and its framing', async () => {
  expect(await playResponse(`${HEAD}${EVENTS}0\r\n\r\n`, 'requestAnswered')).toMatchObject([
    { events: 2, lastEventId: '2', mediaType: 'text/event-stream', isFramed: true },
  ]);
});
