import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import { relaxEstimates } from './relaxEstimates.js';

const RELAX_PERIOD_MS = 1_000;

/** The state with its estimates relaxed once a period while nothing runs on the target. */
export const relaxWhenIdle = ({ nowMs }: SideContext, state: SideState): SideState => {
  const { periods, runs } = state;
  if (runs.activeRequests > 0) {
    return { ...state, periods: { ...periods, busyAtMs: nowMs } };
  }
  if (nowMs - periods.busyAtMs < RELAX_PERIOD_MS) {
    return state;
  }
  return {
    ...state,
    periods: { ...periods, busyAtMs: nowMs },
    estimates: relaxEstimates(state.estimates),
  };
};
