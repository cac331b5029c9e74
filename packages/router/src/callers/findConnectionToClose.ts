import type { Socket } from 'node:net';
import type { TrackedConnection } from './trackedConnection.js';

/** A connection whose caller has read nothing for so long may be closed for another one. */
const MIN_UNREAD_MS = 1_000;

/** Lower ranks are closed first; undefined if the connection is not closed. */
const getRank = (
  { account, hasBeenUsed, isClosing, openRequests, unread }: TrackedConnection,
  nowMs: number,
): number | undefined => {
  if (openRequests.length === 0) {
    return hasBeenUsed ? 1 : 0;
  }
  if (isClosing) {
    return undefined;
  }
  if (!account.isServing()) {
    return 2;
  }
  return unread !== undefined && nowMs - unread.sinceMs >= MIN_UNREAD_MS ? 3 : undefined;
};

const getSinceMs = ({ idleSinceMs, openRequests, unread }: TrackedConnection): number =>
  unread?.sinceMs ?? openRequests[0]?.sinceMs ?? idleSinceMs;

/**
 * Finds the connection that is closed to make room for a new one: one that never had a request, else one without a
 * request, else one whose request was not passed to the scheduler, else one whose response is not read; the oldest of its
 * kind.
 */
export const findConnectionToClose = (
  connections: ReadonlyMap<Socket, TrackedConnection>,
  nowMs: number,
): Socket | undefined => {
  let found:
    { readonly socket: Socket; readonly rank: number; readonly sinceMs: number } | undefined;
  for (const [socket, connection] of connections) {
    const rank = getRank(connection, nowMs);
    const sinceMs = getSinceMs(connection);
    const isBetter =
      found === undefined ||
      (rank === found.rank ? sinceMs < found.sinceMs : rank !== undefined && rank < found.rank);
    if (rank !== undefined && isBetter) {
      found = { socket, rank, sinceMs };
    }
  }
  return found?.socket;
};
