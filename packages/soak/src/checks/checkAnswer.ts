import { createResponseBody } from '../history/createResponseBody.js';
import type { SentRequest } from '../history/sentRequest.js';
import type { TargetRun } from '../history/targetRun.js';
import type { Violation } from './violation.js';

const STATUS_OK = 200;
const MAX_SHOWN_LENGTH = 80;

const findDifference = (body: string, expected: string): number => {
  const firstAt = Array.from(body).findIndex((character, index) => character !== expected[index]);
  return firstAt < 0 ? body.length : firstAt;
};

/**
 * Finds answers that are not the request's own, or are complete although something is missing, made up or there twice. A
 * broken-off answer may end with an event that nothing told from the next one, if a target is known to have sent just that.
 */
export const checkAnswer = (
  { id, kind, status, isWhole, body }: SentRequest,
  runs: readonly TargetRun[],
): readonly Violation[] => {
  if (status !== STATUS_OK) {
    return [];
  }
  const expected = createResponseBody(id, kind);
  const isSound = isWhole
    ? body === expected
    : expected.startsWith(body) ||
      runs.some(({ bodyWithLookAlike }) => bodyWithLookAlike?.startsWith(body) === true);
  if (isSound) {
    return [];
  }
  const differsAt = findDifference(body, expected);
  const shown = JSON.stringify(body.slice(differsAt, differsAt + MAX_SHOWN_LENGTH));
  const end = isWhole ? 'complete' : 'broken off';
  const detail = `${id} (${kind}, ${end}) got ${shown} after ${differsAt} right bytes of ${expected.length}`;
  return [{ guarantee: 'foreignAnswer', detail }];
};
