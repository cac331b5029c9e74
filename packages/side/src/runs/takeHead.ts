import type { SideState } from '../sideState.js';
import type { SideStep } from '../step/sideStep.js';
import type { TargetEvent } from './targetEvent.js';
import { newStep } from '../step/newStep.js';
import { confirmResumed } from './confirmResumed.js';
import { isRunActive } from './isRunActive.js';
import { relay } from './relay.js';
import { setRun } from './setRun.js';

/** Keeps and relays the status and headers of an answer. */
export const takeHead = (state: SideState, event: TargetEvent<'targetHead'>): SideStep => {
  const run = state.runs.byId.get(event.grantId);
  if (run === undefined || !isRunActive(run) || run.head !== undefined) {
    return newStep(state);
  }
  const { grantId, status, headers } = event;
  const { requestId } = run;
  const headed = { ...run, phase: 'running' as const, head: { status, headers } };
  return newStep(
    { ...state, runs: setRun(state.runs, headed) },
    ...relay(state, run, ...confirmResumed(run), {
      type: 'answerHead',
      grantId,
      requestId,
      status,
      headers,
    }),
  );
};
