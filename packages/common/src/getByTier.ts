import type { Tier } from './tier.js';

/** Returns the value of a tier from a tuple with one value per tier, the most urgent tier first. */
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
