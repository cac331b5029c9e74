import type { RequestKind } from './requestKind.js';
import type { ResponseTimes } from './responseTimes.js';

/** A response is slow if it takes this many times as long as those of old targets on average. */
const SLOW_FACTOR = 2.5;
/** Shorter delays are caused by the host of the entry as often as by the target. */
const MIN_SLOW_MS = 60;
/** With fewer responses of old targets, there is nothing to compare with. */
const MIN_SAMPLES = 4;

/** Whether a response takes several times as long as those of the old targets to requests of the same kind. */
export const isSlowResponse = (
  { oldSamples, oldRatioLogMean }: RequestKind,
  { tookMs, ratio }: ResponseTimes,
): boolean =>
  oldRatioLogMean !== undefined &&
  oldSamples >= MIN_SAMPLES &&
  tookMs > MIN_SLOW_MS &&
  ratio > SLOW_FACTOR * Math.exp(oldRatioLogMean);
