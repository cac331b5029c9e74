import type { SideState } from '../sideState.js';
import type { SideStep } from '../step/sideStep.js';
import type { TargetEvent } from './targetEvent.js';
import { newStep } from '../step/newStep.js';
import { relay } from './relay.js';
import { removeRun } from './removeRun.js';
import { vacateRun } from './vacateRun.js';

/** Tells the entry that the target does not know a request that an earlier incarnation may have called. */
export const takeUnknown = (state: SideState, event: TargetEvent<'targetUnknown'>): SideStep => {
  const run = state.runs.byId.get(event.grantId);
  if (run?.phase !== 'resuming') {
    return newStep(state);
  }
  const { grantId, requestId } = run;
  const vacated = vacateRun(state, run);
  return newStep(
    { ...vacated, runs: removeRun(vacated.runs, run) },
    ...relay(state, run, { type: 'fate', grantId, requestId, fate: 'unknown' }),
  );
};
