import type { Tier } from '@parsleyhall/common';
import { countBy } from './countBy.js';
import type { EngineRun } from './engineRun.js';
import { getAttemptLabels } from './getAttemptLabels.js';
import { getPercentiles } from './getPercentiles.js';
import { getWastedPrefill } from './getWastedPrefill.js';
import { isInTime } from './isInTime.js';
import type { RunRecord } from './runRecord.js';
import type { TierReport } from './tierReport.js';

const FAILED = new Set(['wrong', 'unknown', 'invalid', 'cut', 'silent']);

/** Sums up one tier of a run. */
export const newTierReport = (
  record: RunRecord,
  runs: ReadonlyMap<string, EngineRun>,
  tier: Tier,
): TierReport => {
  const { timeScale } = record;
  const outcomes = record.outcomes.filter(({ call }) => call.tier === tier);
  const inTime = outcomes.filter(isInTime).length;
  const answered = outcomes.filter(({ result }) => result === 'answered').length;
  const hungUp = outcomes.filter(({ result }) => result === 'hungUp').length;
  const firstTokens = outcomes.flatMap(({ firstTokenMs }) =>
    firstTokenMs === undefined ? [] : [firstTokenMs * timeScale],
  );
  const gaps = outcomes.flatMap(({ gapsMs }) => gapsMs.map((gapMs) => gapMs * timeScale));
  const prefillTokens = outcomes
    .flatMap(getAttemptLabels)
    .reduce((sum, label) => sum + (runs.get(label)?.prefillTokens ?? 0), 0);
  return {
    tier,
    sent: outcomes.length,
    inTime,
    late: answered - inTime,
    hungUp,
    notRunByReason: countBy(
      outcomes.filter(({ result }) => result === 'notRun').map(({ reason }) => reason),
    ),
    failedByResult: countBy(
      outcomes.filter(({ result }) => FAILED.has(result)).map(({ result }) => result),
    ),
    goodput: inTime / Math.max(1, outcomes.length - hungUp),
    firstToken: getPercentiles(firstTokens),
    betweenTokens: getPercentiles(gaps),
    prefillTokens,
    wasted: getWastedPrefill(outcomes, runs),
  };
};
