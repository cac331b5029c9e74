import type { IncomingMessage } from 'node:http';
import type { CallerObserver } from './callerObserver.js';
import { discardRequest } from './discardRequest.js';
import { resetConnection } from './resetConnection.js';
import { stopParsing } from './stopParsing.js';
import type { TrackedConnection } from './trackedConnection.js';

/** The parser completes the block that was read, so several requests may arrive on a closing connection. */
const MAX_LATE_REQUESTS = 16;

/** Drops a request behind the last one that its connection serves; closes the connection at once if there are many. */
export const addLateRequest = (
  request: IncomingMessage,
  connection: TrackedConnection,
  observer: CallerObserver,
): void => {
  const { socket } = request;
  if (socket.destroyed) {
    return;
  }
  connection.lateRequests += 1;
  if (connection.lateRequests <= MAX_LATE_REQUESTS) {
    observer.reportDiscarded(request);
    discardRequest(request);
    return;
  }
  stopParsing(socket);
  resetConnection(socket);
};
