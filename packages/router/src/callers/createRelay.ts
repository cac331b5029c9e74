import { selectForwardedHeaders } from '../requests/selectForwardedHeaders.js';
import type { MemoryBudget } from '../memory/memoryBudget.js';
import { breakOffResponse } from './breakOffResponse.js';
import type { RawHeaders } from '../requests/rawHeaders.js';
import type { Caller } from './caller.js';
import type { Relay } from './relay.js';

/** Memory of a write that waits for the caller to read, besides its bytes. */
const WAITING_WRITE_COST_BYTES = 512;
const NO_EXCLUDED_NAMES: ReadonlySet<string> = new Set();

/** Creates the relay to a caller. The head of the response is sent together with the first bytes. */
export const createRelay = (
  { requestId, request: { socket }, response, headers }: Caller,
  {
    isShuttingDown,
    memory,
    resumeReading,
  }: {
    readonly isShuttingDown: () => boolean;
    readonly memory: MemoryBudget;
    /** Goes on reading the response from the target. */
    readonly resumeReading: () => void;
  },
): Relay => {
  const account = memory.getAccount(socket);
  let waitingWrites = 0;
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

  /** Returns whether the entry keeps reading for a caller that has not read what was written. */
  const holdUnread = (): boolean => {
    waitingWrites += 1;
    const heldBytes = response.writableLength + waitingWrites * WAITING_WRITE_COST_BYTES;
    account.hold('unreadResponse', heldBytes);
    return heldBytes <= memory.getConnectionShareBytes() && !memory.isShort();
  };

  response.on('drain', () => {
    waitingWrites = 0;
    account.hold('unreadResponse', 0);
  });

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
      return response.write(bytes) || holdUnread();
    },
    holdBuffered: (bytes) => {
      account.hold('bufferedResponse', bytes);
      if (bytes === 0) {
        account.endGrowth();
        return true;
      }
      return account.mayGrow(resumeReading);
    },
    end: () => {
      sendHead();
      response.end();
    },
    endWithBody: (body) => {
      sendHead(body.length);
      response.end(body);
      account.hold('bufferedResponse', 0);
      account.hold('unreadResponse', response.writableLength);
    },
    breakOff: () => {
      breakOffResponse(response);
    },
  };
};
