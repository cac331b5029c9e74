import { selectForwardedHeaders } from '../requests/selectForwardedHeaders.js';
import { breakOffResponse } from './breakOffResponse.js';
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
  let head: { readonly status: number; readonly headers: RawHeaders } | undefined;

  const sendHead = (bodyLength?: number): void => {
    if (response.headersSent || head === undefined) {
      return;
    }
    if (isShuttingDown()) {
      response.shouldKeepAlive = false;
    }
    // The length or the chunks tell the caller whether the response is complete, however this process ends.
    response.writeHead(head.status, [
      ...selectForwardedHeaders(head.headers, NO_EXCLUDED_NAMES),
      ...(bodyLength === undefined ? [] : ['Content-Length', String(bodyLength)]),
    ]);
  };

  return {
    requestId,
    getLastEventId: () => lastEventId,
    countEvents: () => eventCount,
    hasSentHead: () => response.headersSent,
    setHead: (status, rawHeaders) => {
      if (!response.headersSent) {
        head = { status, headers: rawHeaders };
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
      breakOffResponse(response);
    },
  };
};
