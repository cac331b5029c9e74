import type { Socket } from 'node:net';
import { breakOffResponse } from './breakOffResponse.js';
import type { CallerObserver } from './callerObserver.js';
import { dismissCaller } from './dismissCaller.js';
import { releaseRequests } from './releaseRequests.js';
import { stopParsing } from './stopParsing.js';
import type { TrackedConnection } from './trackedConnection.js';

/** Closes a connection because of this limit. Its request is refused if it has certainly not run, else broken off. */
export const closeForLimit = (
  socket: Socket,
  connection: TrackedConnection,
  { isServing, bytes }: { readonly isServing: boolean; readonly bytes: number },
  observer: CallerObserver,
  reason: 'memoryShort' | 'tooManyConnections',
): void => {
  connection.isClosing = true;
  stopParsing(socket);
  const [current] = connection.openRequests;
  if (current !== undefined && !isServing && !current.response.headersSent) {
    const status = dismissCaller(socket, reason);
    observer.reportDismissal(current.request, reason, status);
    releaseRequests(connection);
    return;
  }
  observer.reportClosed(reason, bytes);
  if (current !== undefined) {
    breakOffResponse(current.response);
  }
  socket.destroy();
  releaseRequests(connection);
};
