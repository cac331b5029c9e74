import type { Tier } from '@parsleyhall/common';
import type { Occupancy } from './occupancy.js';
import type { WindowState } from './windowState.js';

const TIER_ONE_PREFILL_SHARE = 0.7;
const LOWER_TIERS_PREFILL_SHARE = 0.15;

/** What decides whether a request of a tier may be granted room. */
interface RoomRequest {
  readonly tier: Tier;
  readonly occupancy: Occupancy;
  readonly window: WindowState;
  /** Share of the window kept free for tier one, from 0 to 1. */
  readonly reservedShare: number;
  /** Time that the prefill ahead will take, in milliseconds. */
  readonly prefillAheadMs: number;
  /** Bound of tier one's first token in the preset in force, in milliseconds; absent without one. */
  readonly firstTokenBoundMs: number | undefined;
}

const isPrefillFull = ({ tier, prefillAheadMs, firstTokenBoundMs }: RoomRequest): boolean => {
  if (prefillAheadMs === 0 || firstTokenBoundMs === undefined) {
    return false;
  }
  const share = tier === 1 ? TIER_ONE_PREFILL_SHARE : LOWER_TIERS_PREFILL_SHARE;
  return prefillAheadMs > firstTokenBoundMs * share;
};

/** Whether the window has room for one more request of the tier; a stalled target has room for none. */
export const hasRoom = (request: RoomRequest): boolean => {
  const { tier, occupancy, window, reservedShare } = request;
  const requests = Math.max(1, Math.floor(window.requests));
  const isStalled = window.stalledSinceMs !== undefined && occupancy.requests > 0;
  if (isStalled || occupancy.requests >= requests) {
    return false;
  }
  const isTokenFull = occupancy.requests > 0 && occupancy.tokens >= window.tokens;
  if (isTokenFull || isPrefillFull(request)) {
    return false;
  }
  const lowerTiers = occupancy.requests - occupancy.byTier[0];
  const reserved = Math.round(requests * reservedShare);
  return tier === 1 || lowerTiers < Math.max(1, requests - reserved);
};
