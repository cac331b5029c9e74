import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { Run } from './run.js';
import type { TargetEvent } from './targetEvent.js';
import { newStep } from '../step/newStep.js';
import { confirmResumed } from './confirmResumed.js';
import { forgetCancelled } from './forgetCancelled.js';
import { isRunActive } from './isRunActive.js';
import { relay } from './relay.js';
import { setRun } from './setRun.js';
import { vacateRun } from './vacateRun.js';

// A run that was taken up from an earlier incarnation has run, whatever became of the connection.
const getOutcome = (run: Run, event: TargetEvent<'targetFailed'>): 'notRun' | 'unknown' =>
  run.phase === 'resuming' || run.head !== undefined || run.nextOffset > 0
    ? 'unknown'
    : event.outcome;

/** Ends a run whose call failed or whose answer was cut. */
export const takeFailure = (
  context: SideContext,
  state: SideState,
  event: TargetEvent<'targetFailed'>,
): SideStep => {
  const run = state.runs.byId.get(event.grantId);
  if (run === undefined || !isRunActive(run)) {
    return newStep(forgetCancelled(state, event.grantId));
  }
  const { grantId, requestId } = run;
  const outcome = getOutcome(run, event);
  const failed: Run = {
    ...run,
    phase: 'failed',
    keptUntilMs: context.nowMs + context.settings.answerRetentionMs,
    failure: outcome,
  };
  const vacated = vacateRun(state, run);
  return newStep(
    { ...vacated, runs: setRun(vacated.runs, failed) },
    ...relay(state, run, ...confirmResumed(run), {
      type: 'answerFailed',
      grantId,
      requestId,
      outcome,
    }),
  );
};
