import type { Tier } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import { getHorizonMs } from './getHorizonMs.js';
import { predictWaitMs } from './predictWaitMs.js';

const NEXT_LOWER: Readonly<Record<Tier, Tier>> = { 1: 2, 2: 3, 3: 4, 4: 4 };

/** The state with the next lower tier open again when the load allows. */
export const reopenTier = (context: SideContext, state: SideState): SideState => {
  const { lowestTierAdmitted, changedAtMs } = state.shedding;
  if (lowestTierAdmitted === 4) {
    return state;
  }
  const tier = NEXT_LOWER[lowestTierAdmitted];
  const isOpen = context.decisions.mayReopen({
    sinceChangeMs: context.nowMs - changedAtMs,
    waitMs: predictWaitMs(state, tier),
    horizonMs: getHorizonMs(state, tier),
  });
  return isOpen
    ? { ...state, shedding: { lowestTierAdmitted: tier, changedAtMs: context.nowMs } }
    : state;
};
