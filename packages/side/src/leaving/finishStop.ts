import type { SideState } from '../sideState.js';
import type { SideStep } from '../step/sideStep.js';
import { newStep } from '../step/newStep.js';

/** Says once that all work is finished after a planned stop. */
export const finishStop = (state: SideState): SideStep => {
  const { leaving, runs, grants } = state;
  const isFinished = runs.byId.size === 0 && grants.byRequest.size === 0;
  return leaving.isStopRequested && !leaving.hasStopped && isFinished
    ? newStep({ ...state, leaving: { ...leaving, hasStopped: true } }, { type: 'stopped' })
    : newStep(state);
};
