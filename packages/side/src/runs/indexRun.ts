import type { Run } from './run.js';
import type { RunsState } from './runsState.js';

const indexActive = (runs: RunsState, run: Run, change: 'with' | 'without'): RunsState => {
  if (!run.isPrefilled) {
    const expectedAtMs = run.startedAtMs + run.predictedFirstTokenMs;
    return run.isStreaming
      ? { ...runs, prefilling: runs.prefilling[change](expectedAtMs, run.grantId) }
      : { ...runs, unseenPrefills: runs.unseenPrefills[change](expectedAtMs, run.grantId) };
  }
  return run.lastTokenAtMs === undefined
    ? runs
    : { ...runs, decoding: runs.decoding[change](run.lastTokenAtMs, run.grantId) };
};

/** The runs with the run's places in the time indexes added or removed. */
export const indexRun = (runs: RunsState, run: Run, change: 'with' | 'without'): RunsState => {
  if (run.keptUntilMs !== undefined) {
    return { ...runs, ended: runs.ended[change](run.keptUntilMs, run.grantId) };
  }
  const activeRequests = runs.activeRequests + (change === 'with' ? 1 : -1);
  return indexActive({ ...runs, activeRequests }, run, change);
};
