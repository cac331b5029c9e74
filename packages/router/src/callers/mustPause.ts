import type { Socket } from 'node:net';
import type { TrackedConnection } from './trackedConnection.js';

/** Reading goes on until a request ahead has arrived, since only reading shows that a caller has left. */
export const mustPause = (
  socket: Socket,
  { isClosing, openRequests }: TrackedConnection,
): boolean => isClosing || socket.writableEnded || openRequests.length > 1;
