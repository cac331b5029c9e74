import type { Arrival } from '../requests/arrival.js';

/** Hints of the output are right at the median and often far off. */
const HINT_SAFETY_FACTOR = 2;

/**
 * The tokens that a request is expected to hold at its target at its end: its prompt, and its output with a margin if the
 * request states how long it may be.
 */
export const estimateHeldTokens = ({
  promptTokens = 0,
  maxOutputTokens,
  expectedOutputTokens,
}: Pick<Arrival, 'promptTokens' | 'maxOutputTokens' | 'expectedOutputTokens'>): number => {
  const hintedTokens =
    expectedOutputTokens === undefined ? Infinity : expectedOutputTokens * HINT_SAFETY_FACTOR;
  const outputTokens = Math.min(maxOutputTokens ?? Infinity, hintedTokens);
  return promptTokens + (Number.isFinite(outputTokens) ? outputTokens : 0);
};
