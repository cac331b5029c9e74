import type { SideEffect } from '../sideEffect.js';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { Run } from './run.js';

/** The effect that tells how a whole answer compares with what was predicted for it. */
export const observeEnd = (context: SideContext, state: SideState, run: Run): SideEffect => ({
  type: 'observe',
  name: 'runEnded',
  fields: {
    tier: run.work.tier,
    durationMs: context.nowMs - run.startedAtMs,
    predictedMs: Math.round(run.predictedFinishMs),
    predictedFirstTokenMs: Math.round(run.predictedFirstTokenMs),
    tokens: run.tokens,
    finishErrorShare: state.estimates.finishErrorShare,
    lengthErrorShare: state.estimates.lengthErrorShare,
    windowRequests: Math.floor(state.window.requests),
  },
});
