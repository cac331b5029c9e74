import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { Run } from './run.js';
import { learnBetweenTokens } from '../estimates/learnBetweenTokens.js';
import { learnFirstToken } from '../estimates/learnFirstToken.js';
import { observeWindow } from '../window/observeWindow.js';
import { passPrefill } from '../window/passPrefill.js';

const learnFirst = (context: SideContext, state: SideState, run: Run): SideState => ({
  ...state,
  occupancy: passPrefill(state.occupancy, run.work),
  estimates:
    run.work.prefillTokens === 0
      ? state.estimates
      : learnFirstToken(state.estimates, {
          firstTokenMs: context.nowMs - run.startedAtMs,
          prefillTokens: run.prefillTokensAhead + run.work.prefillTokens,
        }),
});

/** The state after tokens of a streamed answer came; the run is as it was before them. */
export const learnTokens = (
  context: SideContext,
  state: SideState,
  run: Run,
  tokens: number,
): SideState => {
  if (!run.isPrefilled) {
    return learnFirst(context, state, run);
  }
  if (run.lastTokenAtMs === undefined) {
    return state;
  }
  const estimates = learnBetweenTokens(state.estimates, {
    betweenTokensMs: (context.nowMs - run.lastTokenAtMs) / tokens,
    batchSize: state.runs.activeRequests,
  });
  return observeWindow(context, { ...state, estimates }, { type: 'token' });
};
