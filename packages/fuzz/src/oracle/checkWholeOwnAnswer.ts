import { getAnswerChunk } from '../world/getAnswerChunk.js';
import type { Observation } from './observation.js';
import type { ObservedRequest } from './observedRequest.js';
import type { Violation } from './violation.js';

const getExpectedText = ({ operation, chunks }: ObservedRequest['arrival']): string =>
  Array.from({ length: chunks }, (_, chunk) => getAnswerChunk(operation, chunk)).join('');

const findFault = (request: ObservedRequest): string | undefined => {
  const { answers, arrival } = request;
  const types = answers.map(({ type }) => type);
  const text = answers.map((fact) => (fact.type === 'answerBytes' ? fact.text : '')).join('');
  const expected = getExpectedText(arrival);
  const finalAt = types.findIndex((type) => type === 'answerEnd' || type === 'answerFailure');
  if (finalAt !== -1 && finalAt !== types.length - 1) {
    return 'something was said after the last word';
  }
  if (types.filter((type) => type === 'answerHead').length > 1) {
    return 'two heads';
  }
  if (text !== '' && types[0] !== 'answerHead') {
    return 'bytes before the head';
  }
  if (!expected.startsWith(text)) {
    return `not its own answer: ${text} in place of ${expected}`;
  }
  if (request.isWhole && text !== expected) {
    return `called whole, but is cut: ${text} in place of ${expected}`;
  }
  return undefined;
};

/** Each caller gets its own answer byte by byte; one that is called whole is whole; there is one last word. */
export const checkWholeOwnAnswer = ({ requests }: Observation): readonly Violation[] =>
  requests.flatMap((request) => {
    const detail = findFault(request);
    return detail === undefined
      ? []
      : [
          {
            promise: 'wholeOwnAnswer',
            atMs: request.finalAtMs ?? request.arrival.atMs,
            subject: request.arrival.requestId,
            detail,
          } as const,
        ];
  });
