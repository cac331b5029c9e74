import type { Tier } from '@parsleyhall/common';
import type { Occupancy } from './occupancy.js';
import type { WindowState } from './windowState.js';

/** What decides whether a request of a tier may be granted room. */
interface RoomRequest {
  readonly tier: Tier;
  readonly occupancy: Occupancy;
  readonly window: WindowState;
  /** Share of the window kept free for tier one, from 0 to 1. */
  readonly reservedShare: number;
}

/** Whether the window has room for one more request of the tier. */
export const hasRoom = ({ tier, occupancy, window, reservedShare }: RoomRequest): boolean => {
  const requests = Math.max(1, Math.floor(window.requests));
  if (occupancy.requests >= requests) {
    return false;
  }
  if (occupancy.requests > 0 && occupancy.tokens >= window.tokens) {
    return false;
  }
  if (tier === 1) {
    return true;
  }
  const lowerTiers = occupancy.requests - occupancy.byTier[0];
  return lowerTiers < Math.max(1, requests - Math.round(requests * reservedShare));
};
