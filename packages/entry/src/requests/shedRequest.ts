import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { getRetryAfterMs } from '../pools/getRetryAfterMs.js';
import { newPoolState } from '../pools/newPoolState.js';
import { failRequest } from './failRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

const SHED_HOLD_MS = 1_000;

/** Gives a request up under load and holds lower tiers back from the pool for a short time. */
export const shedRequest = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  retryAfterMs?: number,
): EntryStep => {
  const { request } = tracked;
  const pool = step.state.pools.get(request.pool) ?? newPoolState();
  const isHeld = scope.nowMs < pool.shedHoldUntilMs;
  const held = {
    ...pool,
    lowestTierAdmitted:
      isHeld && pool.lowestTierAdmitted < request.tier ? pool.lowestTierAdmitted : request.tier,
    shedHoldUntilMs: scope.nowMs + SHED_HOLD_MS,
  };
  const holding: EntryStep = {
    state: { ...step.state, pools: step.state.pools.set(request.pool, held) },
    effects: step.effects,
  };
  return failRequest(scope, holding, tracked, {
    type: 'notRun',
    reason: 'shed',
    retryAfterMs: retryAfterMs ?? getRetryAfterMs(step.state, request),
  });
};
