import type { EntryStep } from '../entryStep.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { emit } from '../steps/emit.js';

/** Records that a request's claim ended without an answer; a request that joins another's run has nothing to record. */
export const endClaim = (
  step: EntryStep,
  { claim, phase }: TrackedRequest,
  ending: 'notRun' | 'unknown',
): EntryStep => {
  if (claim === undefined || claim.attempts === 0 || phase.type === 'joining') {
    return step;
  }
  return emit(step, {
    type: 'appendKeyRecord',
    partition: claim.partition,
    record: { type: ending, key: claim.key, attempt: claim.attempt },
  });
};
