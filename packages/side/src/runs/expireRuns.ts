import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import { removeRun } from './removeRun.js';

const MAXIMUM_KEPT_BYTES = 64 * 1024 * 1024;

/** The state without ended runs whose retention is over or whose bytes are over the bound, oldest first. */
export const expireRuns = (context: SideContext, state: SideState): SideState => {
  const first = state.runs.ended.first();
  const run = first && state.runs.byId.get(first.id);
  if (first === undefined || run === undefined) {
    return state;
  }
  const isOver = first.rank <= context.nowMs;
  if (!isOver && state.runs.keptBytes <= MAXIMUM_KEPT_BYTES) {
    return state;
  }
  return expireRuns(context, { ...state, runs: removeRun(state.runs, run) });
};
