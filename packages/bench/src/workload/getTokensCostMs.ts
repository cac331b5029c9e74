import { ENGINE_MODEL } from './engineModel.js';
import { RATED_BATCH } from './ratedBatch.js';

/** Engine time that tokens take of an engine of speed 1 at its rated batch, in engine milliseconds. */
export const getTokensCostMs = (prefillTokens: number, decodeTokens: number): number => {
  const { stepBaseMs, stepPerRunningMs, stepPerPrefillTokenMs } = ENGINE_MODEL;
  const perDecodeTokenMs = stepPerRunningMs + stepBaseMs / RATED_BATCH;
  return prefillTokens * stepPerPrefillTokenMs + decodeTokens * perDecodeTokenMs;
};
