import type { Socket } from 'node:net';
import { breakOffResponse } from './breakOffResponse.js';
import { releaseRequests } from './releaseRequests.js';
import { stopParsing } from './stopParsing.js';
import type { TrackedConnection } from './trackedConnection.js';

/** Closes a connection at once so that the response that is being written does not look complete. */
export const closeBrokenOff = (socket: Socket, connection: TrackedConnection): void => {
  stopParsing(socket);
  connection.openRequests.slice(0, 1).forEach(({ response }) => {
    breakOffResponse(response);
  });
  socket.destroy();
  releaseRequests(connection);
};
