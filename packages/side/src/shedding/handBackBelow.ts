import type { Tier } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { handBack } from '../queue/handBack.js';
import { repeatStep } from '../step/repeatStep.js';
import { getRetryAfterMs } from './getRetryAfterMs.js';

/** Hands back all waiting reservations of tiers below the one named. */
export const handBackBelow = (context: SideContext, state: SideState, tier: Tier): SideStep =>
  repeatStep(state, (next) => {
    const victim = context.decisions.chooseShed(next.queue);
    if (victim === undefined || victim.work.tier <= tier) {
      return undefined;
    }
    const retryAfterMs = getRetryAfterMs(next, victim.work.tier);
    return handBack(next, victim, { reason: 'shed', retryAfterMs });
  });
