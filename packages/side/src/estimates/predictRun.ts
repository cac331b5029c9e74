import type { Work } from '../queue/work.js';
import type { EstimatesState } from './estimatesState.js';
import type { Prediction } from './prediction.js';
import { estimateDecodeTokens } from './estimateDecodeTokens.js';
import { getSlowdown } from './getSlowdown.js';
import { predictBetweenTokensMs } from './predictBetweenTokensMs.js';

/** What the target will be doing when the work starts. */
interface StartingLoad {
  readonly kind: 'engine' | 'service';
  readonly prefillTokensAhead: number;
  readonly runningRequests: number;
  /** Requests in the batch when the window has filled. */
  readonly batchSize: number;
}

/** How long the work would take if it were started now. */
export const predictRun = (
  estimates: EstimatesState,
  work: Work,
  load: StartingLoad,
): Prediction => {
  if (load.kind === 'service') {
    return { firstTokenMs: estimates.responseMs, finishMs: estimates.responseMs };
  }
  const slowdown = getSlowdown(estimates, load.runningRequests);
  const prefillTokens = load.prefillTokensAhead + work.prefillTokens;
  const prefillMs = prefillTokens / estimates.prefillTokensPerMs;
  const firstTokenMs = (estimates.firstTokenBaseMs + prefillMs) * slowdown;
  const betweenTokensMs = predictBetweenTokensMs(estimates, load.batchSize) * slowdown;
  return {
    firstTokenMs,
    finishMs: firstTokenMs + estimateDecodeTokens(estimates, work) * betweenTokensMs,
  };
};
