import type { Tier } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { handBackBelow } from './handBackBelow.js';

/** Closes the tiers below one of which something was shed, and hands back what waits of them. */
export const closeBelow = (context: SideContext, state: SideState, tier: Tier): SideStep => {
  const { lowestTierAdmitted } = state.shedding;
  const shedding = {
    lowestTierAdmitted: tier < lowestTierAdmitted ? tier : lowestTierAdmitted,
    changedAtMs: context.nowMs,
  };
  return handBackBelow(context, { ...state, shedding }, tier);
};
