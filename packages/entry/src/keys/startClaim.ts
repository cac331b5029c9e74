import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { storeRequest } from '../requests/storeRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { withPhase } from '../requests/withPhase.js';
import { emit } from '../steps/emit.js';

/** Appends a start under a fresh attempt; the claim holds only once it is read back as the first. */
export const startClaim = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
): EntryStep => {
  if (tracked.claim === undefined) {
    return step;
  }
  const attempts = tracked.claim.attempts + 1;
  const claim = {
    ...tracked.claim,
    attempts,
    attempt: `${tracked.request.requestId}#${String(attempts)}`,
    offset: undefined,
  };
  const claiming = withPhase(scope.settings, { ...tracked, claim }, { type: 'claiming' });
  return emit(storeRequest(step, claiming), {
    type: 'appendKeyRecord',
    partition: claim.partition,
    record: {
      type: 'start',
      key: claim.key,
      attempt: claim.attempt,
      requestFingerprint: claim.requestFingerprint,
    },
  });
};
