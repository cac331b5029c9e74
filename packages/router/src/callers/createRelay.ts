import { selectForwardedHeaders } from '../requests/selectForwardedHeaders.js';
import type { RawHeaders } from '../requests/rawHeaders.js';
import type { Caller } from './caller.js';
import type { Relay } from './relay.js';

const NO_EXCLUDED_NAMES: ReadonlySet<string> = new Set();

/** Creates the relay to a caller. The head of the response is sent together with the first bytes. */
export const createRelay = (
  { requestId, response, headers }: Caller,
  isShuttingDown: () => boolean,
): Relay => {
  let lastEventId = headers.lastEventId;
  let eventCount = 0;
  let head:
    | { readonly status: number; readonly headers: RawHeaders; readonly hasFraming: boolean }
    | undefined;

  const sendHead = (bodyLength?: number): void => {
    if (response.headersSent || head === undefined) {
      return;
    }
    if (isShuttingDown() || !head.hasFraming) {
      response.shouldKeepAlive = false;
    }
    // A target's response without framing headers may be incomplete, so the caller's response gets none either and
    // ends with its connection, too.
    response.useChunkedEncodingByDefault = head.hasFraming;
    response.writeHead(head.status, [
      ...selectForwardedHeaders(head.headers, NO_EXCLUDED_NAMES),
      ...(bodyLength === undefined || !head.hasFraming
        ? []
        : ['Content-Length', String(bodyLength)]),
    ]);
  };

  return {
    requestId,
    getLastEventId: () => lastEventId,
    countEvents: () => eventCount,
    hasSentHead: () => response.headersSent,
    setHead: (status, rawHeaders, hasFraming) => {
      if (!response.headersSent) {
        head = { status, headers: rawHeaders, hasFraming };
      }
    },
    write: (bytes, eventId) => {
      sendHead();
      if (eventId !== undefined) {
        lastEventId = eventId;
        eventCount += 1;
      }
      return response.write(bytes);
    },
    end: () => {
      sendHead();
      response.end();
    },
    endWithBody: (body) => {
      sendHead(body.length);
      response.end(body);
    },
    breakOff: () => {
      // A response without framing headers ends with its connection, so only a reset tells that it is incomplete.
      if (response.headersSent && head?.hasFraming === false) {
        response.socket?.resetAndDestroy();
      }
      response.destroy();
    },
  };
};
