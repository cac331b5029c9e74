import { getByTier } from '@parsleyhall/common';
import type { Tier } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';

/** The time within which work of the tier has to be done by the preset in force, in milliseconds. */
export const getHorizonMs = ({ rules }: SideState, tier: Tier): number =>
  getByTier(rules.horizonsMs, tier);
