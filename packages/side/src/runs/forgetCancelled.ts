import type { GrantId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import { removeRun } from './removeRun.js';

/** The state without a cancelled run that the target has ended. */
export const forgetCancelled = (state: SideState, grantId: GrantId): SideState => {
  const run = state.runs.byId.get(grantId);
  return run?.phase === 'cancelled' ? { ...state, runs: removeRun(state.runs, run) } : state;
};
