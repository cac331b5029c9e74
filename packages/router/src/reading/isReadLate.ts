/**
 * A request that may have been unread for longer than this counts as read late. Callers abandon a request that has not
 * been read after one second, or after a third of their deadline.
 */
const LATE_READ_MS = 200;

/** Whether a request may have been unread for so long that its caller may have left unnoticed. */
export const isReadLate = (earliestArrivalAtMs: number, readAtMs: number): boolean =>
  readAtMs - earliestArrivalAtMs > LATE_READ_MS;
