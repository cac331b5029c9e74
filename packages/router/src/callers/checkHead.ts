import type { Socket } from 'node:net';
import type { CallerObserver } from './callerObserver.js';
import { dismissCaller } from './dismissCaller.js';
import type { TrackedConnection } from './trackedConnection.js';

/** Time within which the head of a request must arrive. */
const HEAD_TIMEOUT_MS = 10_000;

/** States the memory of an incomplete head, and refuses a head that is late. */
export const checkHead = (
  socket: Socket,
  connection: TrackedConnection,
  { nowMs, parsedBytes }: { readonly nowMs: number; readonly parsedBytes: number },
  observer: CallerObserver,
): void => {
  const { account, parsedBytesWhenIdle, hasBeenUsed, idleSinceMs, openRequests } = connection;
  if (openRequests.length > 0 || connection.isClosing || socket.writableEnded) {
    return;
  }
  const headBytes = parsedBytes - parsedBytesWhenIdle;
  account.hold('head', headBytes);
  if (headBytes > 0) {
    connection.headSinceMs ??= nowMs;
  }
  const sinceMs = hasBeenUsed ? connection.headSinceMs : idleSinceMs;
  if (account.isOpen() && sinceMs !== undefined && nowMs - sinceMs > HEAD_TIMEOUT_MS) {
    connection.isClosing = true;
    observer.reportDismissal(undefined, 'headTooSlow', dismissCaller(socket, 'headTooSlow'));
  }
};
