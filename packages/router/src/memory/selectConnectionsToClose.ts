import type { HeldMemory } from './heldMemory.js';

/** Added to each age, so that of young connections the one that holds most is selected. */
const MIN_AGE_MS = 50;
/** A caller whose request is being served has this time to send or read the next part of what it makes the entry hold. */
const MIN_HELD_MS = 1_000;

/** Part of the callers' bytes that is released besides the overflow, at most down to the goal. */
const CALLER_RESERVE_SHARE = 1 / 8;
/** Part of the way to the goal that requests being served are closed for, so that the next small growth closes none. */
const SERVING_RESERVE_SHARE = 1 / 4;

const getCallerScore = ({ callerBytes, callerAgeMs }: HeldMemory): number =>
  callerBytes * (callerAgeMs + MIN_AGE_MS);

const getServingScore = ({ servingBytes, servingAgeMs }: HeldMemory): number =>
  servingBytes * (servingAgeMs + MIN_AGE_MS);

/** Nothing of it runs, so all that it holds waits for its caller. */
const isWaitingForCaller = ({ isServing }: HeldMemory): boolean => !isServing;

const isHeldForLong = ({ isServing, callerAgeMs }: HeldMemory): boolean =>
  isServing && callerAgeMs >= MIN_HELD_MS;

const sortByScore = <Connection extends HeldMemory>(
  connections: readonly Connection[],
  getScore: (held: HeldMemory) => number,
): readonly Connection[] =>
  connections
    .filter((connection) => getScore(connection) > 0)
    .sort((left, right) => getScore(right) - getScore(left));

/**
 * Selects the connections to close when more than `limitBytes` are held: those whose callers have made the entry
 * hold the most for the longest time, first without and then with a request that is being served, until `goalBytes` are left
 * or the overflow and a share of the callers' bytes are released. If these do not suffice, also others with a request that
 * is being served, until a little less than the limit is held.
 */
export const selectConnectionsToClose = <Connection extends HeldMemory>(
  connections: readonly Connection[],
  limitBytes: number,
  goalBytes: number,
): readonly Connection[] => {
  let heldBytes = connections.reduce(
    (sum, { callerBytes, servingBytes }) => sum + callerBytes + servingBytes,
    0,
  );
  const selected = new Set<Connection>();
  const selectUntil = (candidates: readonly Connection[], bytes: number): void => {
    for (const connection of candidates) {
      if (heldBytes <= bytes) {
        return;
      }
      if (!selected.has(connection)) {
        selected.add(connection);
        heldBytes -= connection.callerBytes + connection.servingBytes;
      }
    }
  };
  if (heldBytes <= limitBytes) {
    return [];
  }
  const callerBytes = connections.reduce((sum, connection) => sum + connection.callerBytes, 0);
  const remainingBytes = Math.max(goalBytes, limitBytes - callerBytes * CALLER_RESERVE_SHARE);
  selectUntil(sortByScore(connections.filter(isWaitingForCaller), getCallerScore), remainingBytes);
  selectUntil(sortByScore(connections.filter(isHeldForLong), getCallerScore), remainingBytes);
  if (heldBytes > limitBytes) {
    const reserveBytes = (limitBytes - goalBytes) * SERVING_RESERVE_SHARE;
    selectUntil(sortByScore(connections, getCallerScore), limitBytes - reserveBytes);
    selectUntil(sortByScore(connections, getServingScore), limitBytes - reserveBytes);
  }
  return [...selected];
};
