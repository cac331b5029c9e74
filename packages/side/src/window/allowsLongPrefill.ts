import type { Occupancy } from './occupancy.js';
import type { WindowState } from './windowState.js';

const LONG_PREFILL_SHARE = 0.25;

/** Whether one more long prefill may start: only a share of the window while short tier-one work waits. */
export const allowsLongPrefill = ({
  occupancy,
  window,
  waitingShortTierOne,
}: {
  readonly occupancy: Occupancy;
  readonly window: WindowState;
  readonly waitingShortTierOne: number;
}): boolean =>
  waitingShortTierOne === 0 ||
  occupancy.longPrefills < Math.max(1, Math.floor(window.requests * LONG_PREFILL_SHARE));
