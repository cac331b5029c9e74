import type { Tier } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { handBack } from '../queue/handBack.js';
import { andThen } from '../step/andThen.js';
import { newStep } from '../step/newStep.js';
import { getRetryAfterMs } from './getRetryAfterMs.js';

/** Hands back all waiting reservations of tiers below the one named. */
export const handBackBelow = (context: SideContext, state: SideState, tier: Tier): SideStep => {
  const victim = context.decisions.chooseShed(state.queue);
  if (victim === undefined || victim.work.tier <= tier) {
    return newStep(state);
  }
  const retryAfterMs = getRetryAfterMs(state, victim.work.tier);
  return andThen(handBack(state, victim, { reason: 'shed', retryAfterMs }), (next) =>
    handBackBelow(context, next, tier),
  );
};
