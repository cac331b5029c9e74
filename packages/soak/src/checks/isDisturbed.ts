import type { History } from '../history/history.js';

/** For so long after a disturbance an entry is still taken for disturbed, in milliseconds. */
const SETTLED_AFTER_MS = 3_000;

/** Whether an entry was disturbed at any time of the span, or shortly before it. */
export const isDisturbed = (
  { disturbances }: History,
  entry: number,
  { fromMs, untilMs }: { readonly fromMs: number; readonly untilMs: number },
): boolean =>
  disturbances.some(
    (one) =>
      one.entry === entry &&
      one.fromMs <= untilMs &&
      (one.untilMs ?? Infinity) + SETTLED_AFTER_MS >= fromMs,
  );
