import type { EngineRun } from './engineRun.js';
import type { RunRecord } from './runRecord.js';

const NO_RUN: EngineRun = {
  runs: 0,
  prefillTokens: 0,
  cachedTokens: 0,
  arrivedAtMs: Number.POSITIVE_INFINITY,
};

/** What the engines did by the callers' marks. */
export const collectEngineRuns = ({ engines }: RunRecord): ReadonlyMap<string, EngineRun> => {
  const byLabel = new Map<string, EngineRun>();
  for (const { runsByLabel } of engines) {
    for (const [label, run] of Object.entries(runsByLabel)) {
      const known = byLabel.get(label) ?? NO_RUN;
      byLabel.set(label, {
        runs: known.runs + run.runs,
        prefillTokens: known.prefillTokens + run.prefillTokens,
        cachedTokens: known.cachedTokens + run.cachedTokens,
        arrivedAtMs: Math.min(known.arrivedAtMs, run.arrivedAtMs),
      });
    }
  }
  return byLabel;
};
