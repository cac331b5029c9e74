import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { Grant } from './grant.js';
import { handBack } from '../queue/handBack.js';
import { putInQueue } from '../queue/putInQueue.js';
import { newStep } from '../step/newStep.js';
import { repeatStep } from '../step/repeatStep.js';
import { burnGrant } from './burnGrant.js';
import { forgetSettledGrants } from './forgetSettledGrants.js';

const MAXIMUM_EXPIRED_GRANTS = 3;

// A grant may have been lost on its way, so the reservation waits again, but not for ever.
const returnToQueue = (context: SideContext, state: SideState, grant: Grant): SideStep => {
  const waiting = { ...grant.waiting, expiredGrants: grant.waiting.expiredGrants + 1 };
  const queued = putInQueue(burnGrant(context, state, grant), waiting);
  if (waiting.expiredGrants < MAXIMUM_EXPIRED_GRANTS) {
    return newStep(queued);
  }
  const retryAfterMs = context.settings.grantLeaseMs;
  return handBack(queued, waiting, { reason: 'targetDown', retryAfterMs });
};

const expireFirst = (context: SideContext, state: SideState): SideStep | undefined => {
  const first = state.grants.byExpiry.first();
  const grant = first && state.grants.byId.get(first.id);
  return grant === undefined || context.decisions.isGrantLeaseHeld(grant, context.nowMs)
    ? undefined
    : returnToQueue(context, state, grant);
};

/** Burns the grants whose lease is over; their reservations wait again. */
export const expireGrants = (context: SideContext, state: SideState): SideStep => {
  const expired = repeatStep(state, (next) => expireFirst(context, next));
  const grants = forgetSettledGrants(expired.state.grants, context.nowMs);
  return { state: { ...expired.state, grants }, effects: expired.effects };
};
