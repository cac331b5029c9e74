import type { EntryStep } from '../entryStep.js';
import { emit } from '../steps/emit.js';
import { storeRequest } from './storeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Passes the answer's status and headers on to the caller, once. */
export const relayHead = (
  step: EntryStep,
  tracked: TrackedRequest,
  head: { readonly status: number; readonly headers: Readonly<Record<string, string>> },
): EntryStep => {
  if (tracked.answer.isHeadSent) {
    return step;
  }
  const { requestId } = tracked.request;
  const { status, headers } = head;
  const stored = storeRequest(step, {
    ...tracked,
    answer: { ...tracked.answer, isHeadSent: true, status, headers },
  });
  return tracked.isCallerGone
    ? stored
    : emit(stored, { type: 'answerHead', requestId, status, headers });
};
