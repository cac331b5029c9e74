import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { getAdmittingSides } from '../pools/getAdmittingSides.js';
import { failRequest } from './failRequest.js';
import { findLowerTierVictim } from './findLowerTierVictim.js';
import { placeRequest } from './placeRequest.js';
import { shedLowerTiers } from './shedLowerTiers.js';
import { shedRequest } from './shedRequest.js';
import { storeRequest } from './storeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';
import type { RequestPhase } from './requestPhase.js';
import { withPhase } from './withPhase.js';

const REPLACE_PERIOD_MS = 100;

type Waiting = Extract<RequestPhase, { type: 'waiting' }>;

const shedInTierOrder = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  waiting: Waiting,
  retryAfterMs: number,
): EntryStep => {
  const victim = scope.decisions.shedsLowerTierFirst(tracked.request)
    ? findLowerTierVictim(step.state, tracked)
    : undefined;
  if (victim === undefined) {
    return shedRequest(scope, step, tracked, retryAfterMs);
  }
  if (getAdmittingSides(step.state, tracked.request).length === 0) {
    const shed = shedLowerTiers(scope, step, tracked, retryAfterMs);
    return shedRequest(scope, shed, tracked, retryAfterMs);
  }
  const retried = withPhase(scope.settings, tracked, { ...waiting, handBacks: [] });
  return placeRequest(scope, shedRequest(scope, step, victim, retryAfterMs), retried);
};

/**
 * Decides about a request that no side process has taken a reservation of: given up when they refused for load or for its
 * deadline, else kept for another try until its patience ends.
 */
export const giveUpPlacing = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  waiting: Waiting,
): EntryStep => {
  const { handBacks } = waiting;
  const soonest = (reasons: readonly string[]): number | undefined => {
    const times = handBacks
      .filter(({ reason }) => reasons.includes(reason))
      .map(({ retryAfterMs }) => retryAfterMs);
    return times.length === 0 ? undefined : Math.min(...times);
  };
  const shedAfterMs = soonest(['shed', 'queueFull']);
  if (shedAfterMs !== undefined) {
    return shedInTierOrder(scope, step, tracked, waiting, shedAfterMs);
  }
  const unreachableAfterMs = soonest(['deadlineUnreachable']);
  if (unreachableAfterMs !== undefined) {
    return failRequest(scope, step, tracked, {
      type: 'notRun',
      reason: 'deadlineUnreachable',
      retryAfterMs: unreachableAfterMs,
    });
  }
  const unplaced = withPhase(scope.settings, tracked, {
    ...waiting,
    reservedAt: [],
    laterAt: [],
    handBacks: [],
    widenAtMs: scope.nowMs + REPLACE_PERIOD_MS,
  });
  return storeRequest(step, unplaced);
};
