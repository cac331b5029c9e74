import type { FinalFailure } from '@parsleyhall/entry';
import type { NotRunReason } from '@parsleyhall/protocol';
import { getInvalidProblem } from './getInvalidProblem.js';
import type { InvalidReason } from './invalidReason.js';
import { createInvalidRequest } from './createInvalidRequest.js';
import type { Problem } from './problem.js';
import { toUrn } from './toUrn.js';

type KeyConflictReason = Extract<FinalFailure, { readonly type: 'keyConflict' }>['reason'];

const NOT_RUN_PROBLEMS: Readonly<Record<NotRunReason, readonly [status: number, title: string]>> = {
  shed: [503, 'Given up under load'],
  draining: [503, 'The process or its targets are leaving'],
  noTarget: [503, 'No target can serve the request now'],
  logUnavailable: [503, 'The log is out of reach, so the key cannot be claimed'],
  noConfiguration: [503, 'There is no configuration yet'],
  teamLimit: [429, 'The team is over its limit'],
  deadlineExceeded: [504, 'The deadline passed before the request ran'],
  deadlineUnreachable: [504, 'The deadline cannot be met'],
};

const KEY_CONFLICT_PROBLEMS: Readonly<
  Record<KeyConflictReason, readonly [reason: InvalidReason, detail: string]>
> = {
  otherRequest: ['idempotencyKeyOfOtherRequest', 'The key was first used with another request.'],
  tooOld: ['idempotencyKeyTooOld', 'The key is older than the records of keys are kept.'],
  answerNotKept: ['answerNotKept', 'The run is done; its answer was too large to keep.'],
  malformed: ['malformedIdempotencyKey', 'The key must be a UUID of version 7.'],
};

const addRetryAfter = (problem: Problem, retryAfterMs: number): Problem =>
  retryAfterMs > 0 ? { ...problem, retryAfterMs } : problem;

/** Returns the problem document of a final failure. */
export const getFailureProblem = (failure: FinalFailure): Problem => {
  switch (failure.type) {
    case 'notRun': {
      const [status, title] = NOT_RUN_PROBLEMS[failure.reason];
      const type = toUrn('not-run', failure.reason);
      const detail = 'The request did not run and will not.';
      return addRetryAfter({ type, title, status, detail }, failure.retryAfterMs);
    }
    case 'outcomeUnknown': {
      const title = 'The outcome is unknown';
      const detail = 'The request may have run; whether it did could not be settled.';
      const problem = { type: toUrn('outcome-unknown'), title, status: 502, detail };
      return addRetryAfter(problem, failure.retryAfterMs);
    }
    case 'keyConflict':
      return getInvalidProblem(createInvalidRequest(...KEY_CONFLICT_PROBLEMS[failure.reason]));
  }
};
