import type { EntryId, GrantId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { newStep } from '../step/newStep.js';
import { isRunActive } from './isRunActive.js';
import { removeRun } from './removeRun.js';
import { setRun } from './setRun.js';
import { vacateRun } from './vacateRun.js';

/** Drops the answer of a run whose caller hung up, and cancels the work where that spares something. */
export const cancelRun = (
  context: SideContext,
  state: SideState,
  { entry, grantId }: { readonly entry: EntryId; readonly grantId: GrantId },
): SideStep => {
  const run = state.runs.byId.get(grantId);
  if (run?.entry !== entry) {
    return newStep(state);
  }
  if (!isRunActive(run)) {
    return newStep({ ...state, runs: removeRun(state.runs, run) });
  }
  if (!context.decisions.shouldCancel(run)) {
    const unrelayed = { ...run, relayConnection: undefined };
    return newStep({ ...state, runs: setRun(state.runs, unrelayed) });
  }
  const vacated = vacateRun(state, run);
  return newStep(
    { ...vacated, runs: removeRun(vacated.runs, run) },
    { type: 'cancelOnTarget', grantId, requestId: run.requestId },
  );
};
