import type { Socket } from 'node:net';
import type { TrackedConnection } from './trackedConnection.js';

interface SocketWithHandle extends Socket {
  _handle?: { readonly writeQueueSize?: number } | null;
}

/** Bytes that the kernel has not taken of the write in progress. Node's own time limit of sockets uses this figure too. */
const countQueuedBytes = ({ _handle }: SocketWithHandle): number => _handle?.writeQueueSize ?? 0;

/**
 * Whether a caller has read nothing of its response for longer than the time limit. Only progress of writing counts: the
 * socket's own time limit starts again with each byte that the caller sends.
 */
export const checkUnread = (
  socket: Socket,
  connection: TrackedConnection,
  nowMs: number,
  unreadTimeoutMs: number,
): boolean => {
  if (socket.writableLength === 0) {
    delete connection.unread;
    return false;
  }
  const writtenBytes = socket.bytesWritten - socket.writableLength;
  const queuedBytes = countQueuedBytes(socket);
  const { unread } = connection;
  if (unread?.writtenBytes !== writtenBytes || unread.queuedBytes !== queuedBytes) {
    connection.unread = { writtenBytes, queuedBytes, sinceMs: nowMs };
    return false;
  }
  return nowMs - unread.sinceMs > unreadTimeoutMs;
};
