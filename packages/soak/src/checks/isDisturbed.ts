import type { History } from '../history/history.js';

/** An entry still counts as disturbed for this long after a disturbance. */
const RECOVERY_TIME_MS = 3_000;

/** Returns whether an entry was disturbed within the given period or shortly before it. */
export const isDisturbed = (
  { disturbances }: History,
  entry: number,
  { fromMs, untilMs }: { readonly fromMs: number; readonly untilMs: number },
): boolean =>
  disturbances.some(
    (disturbance) =>
      disturbance.entry === entry &&
      disturbance.fromMs <= untilMs &&
      (disturbance.untilMs ?? Infinity) + RECOVERY_TIME_MS >= fromMs,
  );
