import type { Tier } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';

/** The lowest tier that is admitted by the preset in force and under the present load. */
export const getLowestTierAdmitted = ({ rules, shedding }: SideState): Tier =>
  rules.lowestTierAdmitted < shedding.lowestTierAdmitted
    ? rules.lowestTierAdmitted
    : shedding.lowestTierAdmitted;
