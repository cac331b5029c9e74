import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { newStep } from '../step/newStep.js';

const canStop = ({ decisions }: SideContext, { runs, grants }: SideState): boolean =>
  decisions.mayStop({
    outstandingGrants: grants.byRequest.size,
    activeRequests: runs.activeRequests,
    keptAnswers: runs.byId.count(({ phase }) => phase === 'done' || phase === 'cancelled'),
  });

/** Says once that all work is finished after a planned stop. */
export const finishStop = (context: SideContext, state: SideState): SideStep => {
  const { leaving } = state;
  return leaving.isStopRequested && !leaving.hasStopped && canStop(context, state)
    ? newStep({ ...state, leaving: { ...leaving, hasStopped: true } }, { type: 'stopped' })
    : newStep(state);
};
