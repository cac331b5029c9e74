import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { Work } from '../queue/work.js';
import { estimateDecodeTokens } from './estimateDecodeTokens.js';
import { predictBetweenTokensMs } from './predictBetweenTokensMs.js';

/** The work's share of the target's time with the window filled, in milliseconds. */
export const estimateWorkMs = (context: SideContext, state: SideState, work: Work): number => {
  const { estimates, window } = state;
  const batchSize = Math.max(1, Math.floor(window.requests));
  if (context.settings.kind === 'service') {
    return estimates.responseMs / batchSize;
  }
  const prefillMs = work.prefillTokens / estimates.prefillTokensPerMs;
  const betweenTokensMs = predictBetweenTokensMs(estimates, batchSize);
  return prefillMs + (estimateDecodeTokens(estimates, work) * betweenTokensMs) / batchSize;
};
