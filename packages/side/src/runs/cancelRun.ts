import { List } from 'immutable';
import type { EntryId, GrantId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { Run } from './run.js';
import { newStep } from '../step/newStep.js';
import { isRunActive } from './isRunActive.js';
import { removeRun } from './removeRun.js';
import { setRun } from './setRun.js';
import { vacateRun } from './vacateRun.js';

// A planned stop waits for the target's word on a cancelled run, or for this long where it says none.
const CANCELLATION_MS = 250;

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
  if (run.phase === 'cancelled') {
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
  const cancelled: Run = {
    ...run,
    phase: 'cancelled',
    chunks: List(),
    keptFrom: run.nextOffset,
    keptUntilMs: context.nowMs + CANCELLATION_MS,
  };
  return newStep(
    { ...vacated, runs: setRun(vacated.runs, cancelled) },
    { type: 'cancelOnTarget', grantId, requestId: run.requestId },
  );
};
