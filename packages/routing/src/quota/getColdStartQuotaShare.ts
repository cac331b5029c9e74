import type { RoutingSettings } from '../routingSettings.js';
import type { RoutingState } from '../routingState.js';
import { isQuotaWindowKnown } from './isQuotaWindowKnown.js';

/** An entry that knows half of a window may use this share of half of the allowance. */
const COLD_START_FACTOR = 0.5;

/**
 * The share of an allowance that an entry may use while it does not know the usage of the whole latest window, since
 * usage from before its start may still count. 1 once the window is known.
 */
export const getColdStartQuotaShare = (
  state: RoutingState,
  settings: RoutingSettings,
  nowMs: number,
): number =>
  isQuotaWindowKnown(state, settings, nowMs)
    ? 1
    : (COLD_START_FACTOR * (nowMs - state.quotasKnownSinceMs)) / settings.quotas.windowMs;
