import { Buffer } from 'node:buffer';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { endRequest } from '../requests/endRequest.js';
import { failRequest } from '../requests/failRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { emit } from '../steps/emit.js';
import type { KeyRecord } from './keyRecord.js';

/** Answers a repeat with the kept answer of the run that owned its key. */
export const replayAnswer = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  done: Extract<KeyRecord, { type: 'done' }>,
): EntryStep => {
  const { requestId } = tracked.request;
  if (done.body === undefined) {
    return failRequest(scope, step, tracked, { type: 'keyConflict', reason: 'answerNotKept' });
  }
  const answered = emit(
    step,
    { type: 'answerHead', requestId, status: done.status, headers: done.headers },
    { type: 'answerBytes', requestId, bytes: Buffer.from(done.body, 'base64') },
    { type: 'answerEnd', requestId },
  );
  return endRequest(scope, tracked.isCallerGone ? step : answered, tracked, {
    outcome: 'answered',
    reason: 'replayed',
    decodeTokens: 0,
  });
};
