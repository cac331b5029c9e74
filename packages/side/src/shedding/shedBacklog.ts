import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { handBack } from '../queue/handBack.js';
import { andThen } from '../step/andThen.js';
import { repeatStep } from '../step/repeatStep.js';
import { closeBelow } from './closeBelow.js';
import { getHorizonMs } from './getHorizonMs.js';
import { getRetryAfterMs } from './getRetryAfterMs.js';
import { predictWaitMs } from './predictWaitMs.js';

const shedOne = (context: SideContext, state: SideState): SideStep | undefined => {
  const victim = context.decisions.chooseShed(state.queue);
  if (victim === undefined) {
    return undefined;
  }
  const { tier } = victim.work;
  const waitMs = predictWaitMs(state, tier);
  const horizonMs = getHorizonMs(state, tier);
  if (!context.decisions.isOverloaded({ waitMs, horizonMs })) {
    return undefined;
  }
  const retryAfterMs = getRetryAfterMs(state, tier);
  const given = handBack(state, victim, { reason: 'shed', retryAfterMs });
  return andThen(given, (next) => closeBelow(context, next, tier));
};

/** Gives up waiting work from the lowest tier up until the rest can be done in time. */
export const shedBacklog = (context: SideContext, state: SideState): SideStep =>
  repeatStep(state, (next) => shedOne(context, next));
