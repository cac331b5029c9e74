import type { Tier } from '@parsleyhall/common';

/** Which reservations may be chosen now. */
export interface OrderFilter {
  readonly allowsTier: (tier: Tier) => boolean;
  readonly allowsLongPrefills: boolean;
}
