import type { RawRequest } from '../rawRequest.js';
import { RequestQueue } from '../requestQueue.js';
import { sendRequest } from '../sendRequest.js';
import { startRawTarget } from '../startRawTarget.js';
import { startTestRouter } from '../startTestRouter.js';
import { toChunk } from '../toChunk.js';
import { toEvent } from '../toEvent.js';
import { parseOutcome } from './parseOutcome.js';
import { SOUND_EVENTS } from './soundEvents.js';
import type { SpoiltStream } from './spoiltStream.js';
import type { StreamOutcome } from './streamOutcome.js';

const LAST_CHUNK = '0\r\n\r\n';

const writeHead = (contentType: string | undefined, isChunked: boolean): string =>
  [
    'HTTP/1.1 200 OK',
    'Attempt: a1',
    'Seal: s',
    ...(contentType === undefined ? [] : [`Content-Type: ${contentType}`]),
    isChunked ? 'Transfer-Encoding: chunked' : 'Connection: close',
    '\r\n',
  ].join('\r\n');

/** The texts of the target's writes. */
const getWrites = ({ framing, ...stream }: SpoiltStream): readonly string[] => {
  const before = SOUND_EVENTS.slice(0, stream.eventsBefore).map(toEvent);
  const after = stream.isResetBehind ? [] : SOUND_EVENTS.slice(stream.eventsBefore).map(toEvent);
  const head = writeHead(stream.contentType, framing !== 'unframed');
  const { foreignBytes } = stream;
  // An empty chunk would end the response.
  const pieces = [...before, foreignBytes, ...after].filter((text) => text !== '');
  const end = stream.isResetBehind ? '' : LAST_CHUNK;
  switch (framing) {
    case 'chunks':
      return [head, ...pieces.map(toChunk), end];
    case 'oneWrite':
      return [head + toChunk(pieces.join('')) + end];
    case 'cutInTwo': {
      const cutAt = Math.ceil(foreignBytes.length / 2);
      return [
        head + toChunk(before.join('') + foreignBytes.slice(0, cutAt)),
        toChunk(foreignBytes.slice(cutAt) + after.join('')) + end,
      ];
    }
    case 'unframed':
      return [head, pieces.join('')];
  }
};

const waitTurn = (ms = 0): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends a request for a stream that the first of two targets spoils; the second one answers soundly. */
export const playSpoiltStream = async (stream: SpoiltStream): Promise<StreamOutcome> => {
  const queue = new RequestQueue();
  await using first = await startRawTarget(queue);
  await using second = await startRawTarget(queue);
  await using router = await startTestRouter([first, second]);
  const caller = sendRequest(router, `/${stream.route}/x`, 'Connection: close\r\n');
  let sends = 0;
  const nextRequest = async (): Promise<RawRequest> => {
    const request = await queue.next();
    sends += 1;
    return request;
  };
  const answer = async (): Promise<void> => {
    const spoilt = await nextRequest();
    for (const text of getWrites(stream)) {
      spoilt.socket.write(text, 'latin1');
      await waitTurn(stream.isResetBehind ? 5 : 0);
    }
    if (stream.isResetBehind) {
      spoilt.socket.resetAndDestroy();
    } else if (stream.framing === 'unframed') {
      spoilt.socket.end();
    }
    const { getHeader, socket } = await nextRequest();
    const lastId = Number(getHeader('last-event-id') ?? 0);
    const rest = SOUND_EVENTS.filter((id) => id > lastId).map((id) => toChunk(toEvent(id)));
    socket.write(writeHead('text/event-stream', true) + rest.join('') + LAST_CHUNK);
  };
  void answer();
  return parseOutcome(await caller.whenClosed, sends);
};
