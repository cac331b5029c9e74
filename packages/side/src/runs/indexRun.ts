import type { Run } from './run.js';
import type { RunsState } from './runsState.js';
import { isRunActive } from './isRunActive.js';

/** The runs with the run's places in the time indexes added or removed. */
export const indexRun = (runs: RunsState, run: Run, change: 'with' | 'without'): RunsState => {
  if (run.endedAtMs !== undefined) {
    return { ...runs, ended: runs.ended[change](run.endedAtMs, run.grantId) };
  }
  if (!isRunActive(run)) {
    return runs;
  }
  if (run.lastTokenAtMs !== undefined) {
    return { ...runs, decoding: runs.decoding[change](run.lastTokenAtMs, run.grantId) };
  }
  return { ...runs, prefilling: runs.prefilling[change](run.startedAtMs, run.grantId) };
};
