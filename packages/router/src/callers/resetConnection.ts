import type { Socket } from 'node:net';

/**
 * Closes a connection at once with a reset, so that a response without a length does not look complete. A connection whose
 * side was ended is closed in order: a reset would fail and leave its descriptor open.
 */
export const resetConnection = (socket: Socket): void => {
  if (!socket.writableEnded) {
    socket.resetAndDestroy();
  }
  // The reset alone would wait until everything is written out.
  socket.destroy();
};
