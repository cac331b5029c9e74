import { clamp } from '@parsleyhall/common';
import type { EstimatesState } from './estimatesState.js';
import { follow } from './follow.js';

const TELLING_PREFILL_TOKENS = 500;
const GAIN = 0.1;
const MINIMUM_TOKENS_PER_MS = 0.01;
const MAXIMUM_TOKENS_PER_MS = 1_000;

/** The estimates after a first token came so long after the call, with so much prefill until it. */
export const learnFirstToken = (
  estimates: EstimatesState,
  {
    firstTokenMs,
    prefillTokens,
  }: { readonly firstTokenMs: number; readonly prefillTokens: number },
): EstimatesState => {
  if (prefillTokens < TELLING_PREFILL_TOKENS) {
    const prefillMs = prefillTokens / estimates.prefillTokensPerMs;
    const baseMs = Math.max(0, firstTokenMs - prefillMs);
    return { ...estimates, firstTokenBaseMs: follow(estimates.firstTokenBaseMs, baseMs, GAIN) };
  }
  const ownMs = Math.max(1, firstTokenMs - estimates.firstTokenBaseMs);
  const rate = clamp(prefillTokens / ownMs, MINIMUM_TOKENS_PER_MS, MAXIMUM_TOKENS_PER_MS);
  // The time for a token is averaged, not the rate, so that one quick prefill from the cache does not raise hopes.
  const msPerToken = follow(1 / estimates.prefillTokensPerMs, 1 / rate, GAIN);
  return { ...estimates, prefillTokensPerMs: 1 / msPerToken };
};
