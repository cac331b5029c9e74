import type { EntryId, GrantId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import { isRunActive } from './isRunActive.js';
import { removeRun } from './removeRun.js';

/** The state without the kept answer of an ended run that its entry has whole. */
export const acknowledgeEnd = (
  state: SideState,
  { entry, grantId }: { readonly entry: EntryId; readonly grantId: GrantId },
): SideState => {
  const run = state.runs.byId.get(grantId);
  return run?.entry !== entry || isRunActive(run) || run.phase === 'cancelled'
    ? state
    : { ...state, runs: removeRun(state.runs, run) };
};
