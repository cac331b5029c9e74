import type { Tier } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';

/** The time within which work of the tier has to be done by the preset in force, in milliseconds. */
export const getHorizonMs = ({ rules }: SideState, tier: Tier): number => {
  const [first, second, third, fourth] = rules.horizonsMs;
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
