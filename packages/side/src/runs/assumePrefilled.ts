import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import { passPrefill } from '../window/passPrefill.js';
import { setRun } from './setRun.js';

/** The state with the prefill of answers that are not streamed behind, once their first token is due. */
export const assumePrefilled = (context: SideContext, state: SideState): SideState => {
  const first = state.runs.unseenPrefills.first();
  const run = first && state.runs.byId.get(first.id);
  if (first === undefined || run === undefined || first.rank > context.nowMs) {
    return state;
  }
  const prefilled = { ...run, isPrefilled: true };
  return assumePrefilled(context, {
    ...state,
    runs: setRun(state.runs, prefilled),
    occupancy: passPrefill(state.occupancy, run.work),
  });
};
