import type { InvalidReason } from './invalidReason.js';
import type { InvalidRequest } from './invalidRequest.js';
import type { Problem } from './problem.js';
import { toUrn } from './toUrn.js';

const INVALID_REQUEST_PROBLEMS: Readonly<
  Record<InvalidReason, readonly [status: number, title: string]>
> = {
  malformedJson: [400, 'The body is not JSON'],
  malformedBody: [400, 'The body lacks what the call needs'],
  malformedHeader: [400, 'A header is malformed'],
  malformedPath: [400, 'The path is malformed'],
  malformedRequest: [400, 'The request is not HTTP'],
  missingIdempotencyKey: [400, 'This call needs an Idempotency-Key'],
  malformedIdempotencyKey: [400, 'The Idempotency-Key is malformed'],
  unknownTeam: [403, 'The team is unknown'],
  unknownModel: [404, 'The model is unknown'],
  unknownPool: [404, 'The pool of targets is unknown'],
  unknownPath: [404, 'There is nothing at this path'],
  requestTooSlow: [408, 'The request came too slowly'],
  idempotencyKeyTooOld: [409, 'The Idempotency-Key is too old'],
  answerNotKept: [409, 'The request ran, but its answer is not kept'],
  bodyTooLarge: [413, 'The body is too large'],
  idempotencyKeyOfOtherRequest: [422, 'The Idempotency-Key belongs to another request'],
  headersTooLarge: [431, 'The headers are too large'],
};

/** Returns the problem document of an invalid request. */
export const getInvalidProblem = ({ reason, detail }: InvalidRequest): Problem => {
  const [status, title] = INVALID_REQUEST_PROBLEMS[reason];
  return { type: toUrn('invalid', reason), title, status, detail };
};
