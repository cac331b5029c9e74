import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { newStep } from '../step/newStep.js';

/** Says once that all work is finished after a planned stop. */
export const finishStop = ({ decisions }: SideContext, state: SideState): SideStep => {
  const { leaving, runs, grants } = state;
  const isFinished = decisions.mayStop({
    runs: runs.byId.size,
    grants: grants.byRequest.size,
  });
  return leaving.isStopRequested && !leaving.hasStopped && isFinished
    ? newStep({ ...state, leaving: { ...leaving, hasStopped: true } }, { type: 'stopped' })
    : newStep(state);
};
