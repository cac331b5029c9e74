import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { failRequest } from './failRequest.js';
import { findLowerTierVictim } from './findLowerTierVictim.js';
import { placeRequest } from './placeRequest.js';
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
  retryAfterMs: number | undefined,
): EntryStep => {
  const victim = scope.decisions.shedsLowerTierFirst(tracked.request)
    ? findLowerTierVictim(step.state, tracked)
    : undefined;
  if (victim === undefined) {
    return shedRequest(scope, step, tracked, retryAfterMs);
  }
  return placeRequest(scope, shedRequest(scope, step, victim, retryAfterMs), tracked);
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
    return shedInTierOrder(scope, step, tracked, shedAfterMs);
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
