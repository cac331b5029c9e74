import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { Run } from './run.js';
import { follow } from '../estimates/follow.js';
import { learnLength } from '../estimates/learnLength.js';
import { observeWindow } from '../window/observeWindow.js';

const RESPONSE_GAIN = 0.1;
const ERROR_GAIN = 0.05;

const learnResponse = (context: SideContext, state: SideState, responseMs: number): SideState => {
  const estimates = {
    ...state.estimates,
    responseMs: follow(state.estimates.responseMs, responseMs, RESPONSE_GAIN),
  };
  return observeWindow(context, { ...state, estimates }, { type: 'response', responseMs });
};

/** The state after an answer came whole: its length, its duration and the prediction's error are learned. */
export const learnEnd = (
  context: SideContext,
  state: SideState,
  run: Run,
  decodeTokens: number,
): SideState => {
  if (run.phase === 'resuming' || run.predictedFinishMs === 0) {
    return state;
  }
  const durationMs = context.nowMs - run.startedAtMs;
  if (context.settings.kind === 'service') {
    return learnResponse(context, state, durationMs);
  }
  const errorShare = Math.abs(durationMs - run.predictedFinishMs) / run.predictedFinishMs;
  const estimates = {
    ...learnLength(state.estimates, run.work, decodeTokens),
    finishErrorShare: follow(state.estimates.finishErrorShare, errorShare, ERROR_GAIN),
  };
  return { ...state, estimates };
};
