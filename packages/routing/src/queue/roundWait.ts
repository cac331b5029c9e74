/** A predicted wait as log lines have it: whole milliseconds, -1 where it never ends. */
export const roundWait = (waitMs: number): number =>
  Number.isFinite(waitMs) ? Math.round(waitMs) : -1;
