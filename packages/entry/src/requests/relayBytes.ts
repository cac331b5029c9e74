import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { emit } from '../steps/emit.js';
import { askFate } from './askFate.js';
import { storeRequest } from './storeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

const MAXIMUM_KEPT_BYTES = 65_536;

const keep = (tracked: TrackedRequest, bytes: Uint8Array): readonly Uint8Array[] | undefined => {
  const { kept, bytesReceived } = tracked.answer;
  return kept === undefined || bytesReceived + bytes.length > MAXIMUM_KEPT_BYTES
    ? undefined
    : [...kept, bytes];
};

/** Passes the answer's next bytes on to the caller; bytes seen before are cut off, a gap is asked for again. */
export const relayBytes = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  { offset, bytes }: { readonly offset: number; readonly bytes: Uint8Array },
): EntryStep => {
  const { answer, request, phase } = tracked;
  const seen = answer.bytesReceived - offset;
  if (seen < 0 || !answer.isHeadSent) {
    return phase.type === 'given' ? askFate(scope, step, tracked) : step;
  }
  const fresh = seen === 0 ? bytes : bytes.subarray(seen);
  if (fresh.length === 0) {
    return step;
  }
  const stored = storeRequest(step, {
    ...tracked,
    answer: {
      ...answer,
      bytesReceived: answer.bytesReceived + fresh.length,
      firstByteAtMs: answer.firstByteAtMs ?? scope.nowMs,
      lastByteAtMs: scope.nowMs,
      kept: keep(tracked, fresh),
    },
  });
  return tracked.isCallerGone
    ? stored
    : emit(stored, { type: 'answerBytes', requestId: request.requestId, bytes: fresh });
};
