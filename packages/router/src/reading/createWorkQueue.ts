import type { PacedConnection } from './pacedConnection.js';
import type { WorkQueue } from './workQueue.js';

/** A connection that has caused much work while nobody waited is behind the others by no more than this. */
const MAX_WORK_AHEAD_MS = 1_000;

/** Creates an empty queue. */
export const createWorkQueue = (): WorkQueue => {
  const waiting = new Set<PacedConnection>();
  /** The work of the connection whose turn it was last; one that begins to wait has had no less. */
  let servedWorkMs = 0;

  const limitWork = (connection: PacedConnection): void => {
    connection.workMs = Math.min(
      Math.max(connection.workMs, servedWorkMs),
      servedWorkMs + MAX_WORK_AHEAD_MS,
    );
  };

  return {
    countWaiting: () => waiting.size,
    add: (connection) => {
      if (!waiting.has(connection)) {
        limitWork(connection);
        waiting.add(connection);
      }
    },
    remove: (connection) => {
      waiting.delete(connection);
    },
    takeNext: () => {
      let next: PacedConnection | undefined;
      for (const connection of waiting) {
        if (next === undefined || connection.workMs < next.workMs) {
          next = connection;
        }
      }
      if (next !== undefined) {
        servedWorkMs = next.workMs;
        waiting.delete(next);
      }
      return next;
    },
  };
};
