import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { placeRequest } from '../requests/placeRequest.js';
import { failRequest } from '../requests/failRequest.js';
import { storeRequest } from '../requests/storeRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { withPhase } from '../requests/withPhase.js';
import { RETRY_AFTER_UNKNOWN_MS } from '../retryAfterUnknownMs.js';
import type { KeyClaim } from './keyClaim.js';
import type { KeyState } from './keyState.js';
import { newKeyPartition } from './newKeyPartition.js';
import { replayAnswer } from './replayAnswer.js';
import { startClaim } from './startClaim.js';

const runAsOwner = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  claim: KeyClaim,
  offset: number,
): EntryStep => {
  const { request } = tracked;
  const owning: TrackedRequest = {
    ...tracked,
    claim: { ...claim, offset },
    request: { ...request, call: { ...request.call, fencingOffset: offset } },
  };
  return placeRequest(scope, step, owning);
};

const followOwner = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  key: KeyState,
): EntryStep => {
  if (key.owner?.requestFingerprint !== tracked.claim?.requestFingerprint) {
    return failRequest(scope, step, tracked, { type: 'keyConflict', reason: 'otherRequest' });
  }
  if (key.done !== undefined) {
    return replayAnswer(scope, step, tracked, key.done);
  }
  const joining = withPhase(scope.settings, tracked, { type: 'joining' });
  if (key.isUnknown) {
    return failRequest(scope, step, joining, {
      type: 'outcomeUnknown',
      retryAfterMs: RETRY_AFTER_UNKNOWN_MS,
    });
  }
  return storeRequest(step, joining);
};

/**
 * Decides a claim by what has been read of its key: run as the owner, follow the owner's run, take its kept answer, or
 * claim afresh when the owner did not run.
 */
export const evaluateClaim = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
): EntryStep => {
  const { claim, phase } = tracked;
  if (claim === undefined || (phase.type !== 'claiming' && phase.type !== 'joining')) {
    return step;
  }
  const partition = step.state.partitions.get(claim.partition) ?? newKeyPartition();
  const fault = scope.decisions.checkKeyAge({
    settings: scope.settings,
    key: claim.key,
    wallMs: scope.wallMs,
    trustedFromMs: partition.trustedFromMs,
  });
  if (fault !== undefined) {
    return failRequest(scope, step, tracked, { type: 'keyConflict', reason: fault });
  }
  const key = partition.keys.get(claim.key);
  if (scope.decisions.ownsKey(key, claim.attempt)) {
    return runAsOwner(scope, step, tracked, claim, key?.owner?.offset ?? 0);
  }
  if (key?.owner !== undefined) {
    return followOwner(scope, step, tracked, key);
  }
  const isFree = claim.attempts === 0 || key?.endedAttempts.includes(claim.attempt) === true;
  return isFree ? startClaim(scope, step, tracked) : step;
};
