import type { Socket } from 'node:net';

interface SocketWithHandle extends Socket {
  _handle?: { reading?: boolean; readonly readStop?: () => number } | null;
}

/**
 * Stops reading from the kernel, which `pause()` leaves to the stream: it would read one block more of each connection.
 * Not a documented interface; returns false if it is missing, and what is read is then limited by connection only.
 */
export const stopReadingHandle = ({ _handle }: SocketWithHandle): boolean => {
  if (_handle?.readStop === undefined) {
    return false;
  }
  _handle.reading = false;
  _handle.readStop();
  return true;
};
