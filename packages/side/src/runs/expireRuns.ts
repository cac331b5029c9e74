import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { Run } from './run.js';
import type { RunsState } from './runsState.js';
import { removeRun } from './removeRun.js';

const MAXIMUM_KEPT_BYTES = 64 * 1024 * 1024;

const findExpired = (
  { nowMs }: SideContext,
  { ended, byId, keptBytes }: RunsState,
): Run | undefined => {
  const first = ended.first();
  return first !== undefined && (first.rank <= nowMs || keptBytes > MAXIMUM_KEPT_BYTES)
    ? byId.get(first.id)
    : undefined;
};

/** The state without ended runs whose retention is over or whose bytes are over the bound, oldest first. */
export const expireRuns = (context: SideContext, state: SideState): SideState => {
  let { runs } = state;
  let expired = findExpired(context, runs);
  while (expired !== undefined) {
    runs = removeRun(runs, expired);
    expired = findExpired(context, runs);
  }
  return runs === state.runs ? state : { ...state, runs };
};
