import type { AnswerDescription } from './answerDescription.js';
import { formatAnswer } from './formatAnswer.js';

/** The body, byte for byte, of an engine's answer; cached tokens are as the answer's usage says. */
export const getExpectedAnswer = (
  description: AnswerDescription & { readonly cachedTokens: number },
): string => {
  const format = formatAnswer(description);
  const places = Array.from({ length: description.answerTokens }, (_, place) => place);
  const tokens = places.map((place) => format.formatToken(place)).join('');
  return tokens + format.formatEnd(description.cachedTokens);
};
