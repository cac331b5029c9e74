import type { Socket } from 'node:net';

/**
 * Stops reading from a connection. A socket that counts as paused may still be reading, since the HTTP server starts
 * reading again in the tick after `resume()`; it stops only at the event `pause`, which `pause()` does not repeat.
 */
export const stopReading = (socket: Socket): void => {
  if (socket.readableFlowing === false) {
    socket.emit('pause');
    return;
  }
  socket.pause();
};
