import type { Tier } from './tier.js';

/** The tier's own value among one for each tier, from the highest tier down. */
export const getByTier = <Value>(
  [first, second, third, fourth]: readonly [Value, Value, Value, Value],
  tier: Tier,
): Value => {
  switch (tier) {
    case 1:
      return first;
    case 2:
      return second;
    case 3:
      return third;
    case 4:
      return fourth;
  }
};
