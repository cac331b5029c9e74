import type { SideState } from '../sideState.js';
import type { Run } from './run.js';
import { passPrefill } from '../window/passPrefill.js';
import { vacate } from '../window/vacate.js';

/** The state with the room of an active run given back; the run itself is not changed. */
export const vacateRun = (state: SideState, run: Run): SideState => {
  const occupancy = run.isPrefilled ? state.occupancy : passPrefill(state.occupancy, run.work);
  return { ...state, occupancy: vacate(occupancy, run.work) };
};
