import type { Run } from './run.js';
import type { RunsState } from './runsState.js';
import { indexRun } from './indexRun.js';

/** The runs without one that is among them. */
export const removeRun = (runs: RunsState, run: Run): RunsState => {
  const unindexed = indexRun(runs, run, 'without');
  return {
    ...unindexed,
    byId: unindexed.byId.remove(run.grantId),
    keptBytes: unindexed.keptBytes - (run.nextOffset - run.keptFrom),
  };
};
