import { selectHeaders } from '../calls/selectHeaders.js';
import type { RawHeaders } from '../calls/rawHeaders.js';
import type { Caller } from './caller.js';
import type { Relay } from './relay.js';

const NOTHING_LEFT_OUT: ReadonlySet<string> = new Set();

/** Creates the relay of a caller. The head goes out with the first bytes. */
export const createRelay = (
  { requestId, response, headers }: Caller,
  isClosing: () => boolean,
): Relay => {
  let lastEventId = headers.lastEventId;
  let events = 0;
  let head:
    | { readonly status: number; readonly headers: RawHeaders; readonly hasLength: boolean }
    | undefined;

  const sendHead = (bodyLength?: number): void => {
    if (response.headersSent || head === undefined) {
      return;
    }
    if (isClosing() || !head.hasLength) {
      response.shouldKeepAlive = false;
    }
    // An answer that ended with its connection must not be framed as whole: its caller's ends so too.
    response.useChunkedEncodingByDefault = head.hasLength;
    response.writeHead(head.status, [
      ...selectHeaders(head.headers, NOTHING_LEFT_OUT),
      ...(bodyLength === undefined || !head.hasLength
        ? []
        : ['Content-Length', String(bodyLength)]),
    ]);
  };

  return {
    requestId,
    getLastEventId: () => lastEventId,
    getEvents: () => events,
    hasHead: () => response.headersSent,
    takeHead: (status, raw, hasLength) => {
      if (!response.headersSent) {
        head = { status, headers: raw, hasLength };
      }
    },
    write: (bytes, eventId) => {
      sendHead();
      if (eventId !== undefined) {
        lastEventId = eventId;
        events += 1;
      }
      return response.write(bytes);
    },
    end: () => {
      sendHead();
      response.end();
    },
    endWith: (body) => {
      sendHead(body.length);
      response.end(body);
    },
  };
};
