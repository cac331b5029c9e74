import type { AnswerDescription } from './answerDescription.js';
import { createResponseFormatter } from './createResponseFormatter.js';

/**
 * Returns the exact response body of an engine. `cachedTokens` has to be taken from the usage that
 * the response reports.
 */
export const getExpectedAnswer = (
  description: AnswerDescription & { readonly cachedTokens: number },
): string => {
  const formatter = createResponseFormatter(description);
  const tokenIndexes = Array.from(
    { length: description.answerTokens },
    (_, tokenIndex) => tokenIndex,
  );
  const tokens = tokenIndexes.map((tokenIndex) => formatter.formatToken(tokenIndex)).join('');
  return tokens + formatter.formatEnd(description.cachedTokens);
};
