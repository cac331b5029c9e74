import { TIERS } from '@parsleyhall/common';
import { collectEngineRuns } from './collectEngineRuns.js';
import { newPromiseChecks } from './newPromiseChecks.js';
import { newTierReport } from './newTierReport.js';
import type { RunRecord } from './runRecord.js';
import type { RunReport } from './runReport.js';

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

/** Sums up a run. */
export const newRunReport = (record: RunRecord): RunReport => {
  const runs = collectEngineRuns(record);
  const tiers = TIERS.map((tier) => newTierReport(record, runs, tier));
  const prefillTokens = sum(record.engines.map((engine) => engine.prefillTokensComputed));
  const thrownAway = sum(
    tiers.map(({ wasted }) => wasted.late + wasted.hungUp + wasted.lost + wasted.refused),
  );
  const again = sum(tiers.map(({ wasted }) => wasted.prefixAgain));
  return {
    tiers,
    checks: newPromiseChecks(record, runs),
    prefillTokens,
    wastedShare: thrownAway / Math.max(1, prefillTokens),
    wastedShareWithPrefixes: (thrownAway + again) / Math.max(1, prefillTokens),
    dispatches: sum([...runs.values()].map((run) => run.runs)),
    idleShare: record.idleShare,
    meanStepLateMs:
      (sum(record.engines.map(({ lateWallMs }) => lateWallMs)) * record.timeScale) /
      Math.max(1, sum(record.engines.map(({ steps }) => steps))),
  };
};
