import type { Socket } from 'node:net';

const INVALID_STATUSES = ['000', '001', '042', '099', '101', '600', '999'];

/** Writes a response whose head is sound apart from its status. */
export const writeInvalidStatus = (
  socket: Socket,
  idHeader: string,
  random: () => number,
): void => {
  const status = INVALID_STATUSES[Math.floor(random() * INVALID_STATUSES.length)] ?? '000';
  socket.write(`HTTP/1.1 ${status} Invalid\r\n${idHeader}\r\nContent-Length: 2\r\n\r\nno`);
};
