import type { Run } from './run.js';
import type { RunsState } from './runsState.js';
import { indexRun } from './indexRun.js';

/** The runs with a run added or replaced. */
export const setRun = (runs: RunsState, run: Run): RunsState => {
  const before = runs.byId.get(run.grantId);
  const withoutBefore = before === undefined ? runs : indexRun(runs, before, 'without');
  const beforeBytes = before === undefined ? 0 : before.nextOffset - before.keptFrom;
  return indexRun(
    {
      ...withoutBefore,
      byId: withoutBefore.byId.set(run.grantId, run),
      keptBytes: runs.keptBytes - beforeBytes + run.nextOffset - run.keptFrom,
    },
    run,
    'with',
  );
};
