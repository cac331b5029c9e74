import type { RoutingSettings } from '../routingSettings.js';
import type { RoutingState } from '../routingState.js';
import { knowsQuotaWindow } from './knowsQuotaWindow.js';

/** An entry that knows half of a window uses this part of an allowance's half. */
const CAUTION = 0.5;

/**
 * The part of an allowance that an entry may use which does not know the whole latest window: what was taken before
 * it started may still count.
 */
export const getKnownQuotaShare = (
  state: RoutingState,
  settings: RoutingSettings,
  nowMs: number,
): number =>
  knowsQuotaWindow(state, settings, nowMs)
    ? 1
    : (CAUTION * (nowMs - state.quotasKnownSinceMs)) / settings.quotas.windowMs;
