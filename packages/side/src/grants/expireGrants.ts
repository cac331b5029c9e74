import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { Grant } from './grant.js';
import { handBack } from '../queue/handBack.js';
import { putInQueue } from '../queue/putInQueue.js';
import { andThen } from '../step/andThen.js';
import { newStep } from '../step/newStep.js';
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

/** Burns the grants whose lease is over; their reservations wait again. */
export const expireGrants = (context: SideContext, state: SideState): SideStep => {
  const first = state.grants.byExpiry.first();
  const grant = first && state.grants.byId.get(first.id);
  if (grant === undefined || context.decisions.isGrantLeaseHeld(grant, context.nowMs)) {
    return newStep({ ...state, grants: forgetSettledGrants(state.grants, context.nowMs) });
  }
  return andThen(returnToQueue(context, state, grant), (next) => expireGrants(context, next));
};
