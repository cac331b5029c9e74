import type { Socket } from 'node:net';

const ignoreData = (): void => undefined;

/**
 * The HTTP server reads from the handle of a connection, past its stream, until somebody else listens for its data; what is
 * read could not be held back.
 */
export const readThroughStream = (socket: Socket): void => {
  socket.on('data', ignoreData);
  socket.off('data', ignoreData);
};
