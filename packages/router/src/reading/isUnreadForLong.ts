/** Callers leave a request that nobody reads after a second, or a third of their time. */
const LONG_MS = 200;

/** Whether the sender of what may have come at that moment may have left unnoticed since. */
export const isUnreadForLong = (sinceMs: number, nowMs: number): boolean =>
  nowMs - sinceMs > LONG_MS;
