import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Tracks which of the callers' connections have a request in progress, and for how long the others have been idle. */
export interface ConnectionTracker {
  /** Closes a connection that is idle or waits for its caller, or else this one, if there are too many. */
  readonly addConnection: (socket: Socket) => void;
  /** Runs the handler once the responses to all earlier requests of the connection are written out. */
  readonly addRequest: (
    request: IncomingMessage,
    response: ServerResponse,
    handle: () => void,
  ) => void;
  /** Has to be called once the caller of a paused connection has left; ends its request unless the response is complete. */
  readonly endAbandonedRequest: (socket: Socket) => void;
  /** Number of requests whose response is not written out. */
  readonly countOpenRequests: () => number;
  /** Number of open connections on which a request has arrived. */
  readonly countUsedConnections: () => number;
  /** Closes the connections on which a request was answered and that have been idle for a while. */
  readonly closeIdleConnections: () => void;
  /** Counts what has arrived of heads and of requests ahead; closes connections with a late head or an unread response. */
  readonly checkConnections: () => void;
  /** Closes the connections with an open request so that no response looks complete. */
  readonly breakOffResponses: () => void;
}
