import type { Socket } from 'node:net';
import type { CallerObserver } from './callerObserver.js';
import { checkHead } from './checkHead.js';
import { checkUnread } from './checkUnread.js';
import { closeBrokenOff } from './closeBrokenOff.js';
import { holdRequestsAhead } from './holdRequestsAhead.js';
import type { TrackedConnection } from './trackedConnection.js';

/**
 * Counts incomplete heads and bodies of requests ahead, since no event tells of them, and closes connections with a late
 * head or an unread response.
 */
export const checkConnections = (
  connections: ReadonlyMap<Socket, TrackedConnection>,
  nowMs: number,
  {
    observer,
    countParsedBytes,
    unreadTimeoutMs,
  }: {
    readonly observer: CallerObserver;
    readonly countParsedBytes: (socket: Socket) => number;
    readonly unreadTimeoutMs: number;
  },
): void => {
  [...connections].forEach(([socket, connection]) => {
    checkHead(socket, connection, { nowMs, parsedBytes: countParsedBytes(socket) }, observer);
    if (checkUnread(socket, connection, nowMs, unreadTimeoutMs) && !connection.isClosing) {
      connection.isClosing = true;
      observer.reportClosed('responseUnread', socket.writableLength);
      closeBrokenOff(socket, connection);
      return;
    }
    if (connection.openRequests.length > 1) {
      holdRequestsAhead(connection);
    }
  });
};
