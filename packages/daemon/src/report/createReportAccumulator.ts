import { encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { TeamName, Tier } from '@parsleyhall/common';
import type { ReportRow } from '@parsleyhall/clients';
import type { CallerOutcome } from '../callers/callerOutcome.js';
import { newDurationHistogram } from '@parsleyhall/metrics';
import type { ReportAccumulator } from './reportAccumulator.js';

interface RowTotals {
  readonly tier: Tier;
  readonly team: TeamName;
  readonly firstToken: Histogram;
  readonly notRunByReason: Record<string, number>;
  readonly wastedPrefillTokensByCause: Record<string, number>;
  sent: number;
  inTime: number;
  late: number;
  deadlineExceeded: number;
  outcomeUnknown: number;
  failed: number;
  prefillTokens: number;
}

// Invalid requests are a caller's own mistake, not a failure of the service.
type ReportedResult = Exclude<CallerOutcome['result'], 'invalid'>;

const createRowTotals = (tier: Tier, team: TeamName): RowTotals => ({
  tier,
  team,
  firstToken: newDurationHistogram(),
  notRunByReason: {},
  wastedPrefillTokensByCause: {},
  sent: 0,
  inTime: 0,
  late: 0,
  deadlineExceeded: 0,
  outcomeUnknown: 0,
  failed: 0,
  prefillTokens: 0,
});

const addToCount = (counts: Record<string, number>, name: string, amount: number): void => {
  counts[name] = (counts[name] ?? 0) + amount;
};

const addResult = (
  totals: RowTotals,
  { result, reason }: { readonly result: ReportedResult; readonly reason: string },
): void => {
  switch (result) {
    case 'inTime':
    case 'late':
    case 'deadlineExceeded':
    case 'outcomeUnknown':
      totals[result] += 1;
      return;
    case 'notRun':
      addToCount(totals.notRunByReason, reason, 1);
      return;
    case 'cut':
    case 'hungUp':
      totals.failed += 1;
  }
};

const addOutcome = (totals: RowTotals, result: ReportedResult, outcome: CallerOutcome): void => {
  totals.sent += 1;
  addResult(totals, { result, reason: outcome.reason });
  totals.prefillTokens += outcome.prefillTokens;
  if (result !== 'inTime' && outcome.prefillTokens > 0) {
    addToCount(totals.wastedPrefillTokensByCause, result, outcome.prefillTokens);
  }
  if (outcome.firstTokenMs !== undefined) {
    totals.firstToken.recordValue(outcome.firstTokenMs);
  }
};

const toRow = ({ firstToken, ...totals }: RowTotals): ReportRow => ({
  ...totals,
  ...(firstToken.totalCount === 0
    ? {}
    : { firstTokenHistogram: encodeIntoCompressedBase64(firstToken) }),
});

/** Creates an empty accumulator. */
export const createReportAccumulator = (): ReportAccumulator => {
  let totalsByRow = new Map<string, RowTotals>();
  return {
    add: (outcome) => {
      const { result } = outcome;
      if (result === 'invalid') {
        return;
      }
      const rowKey = `${outcome.tier} ${outcome.team}`;
      const totals = totalsByRow.get(rowKey) ?? createRowTotals(outcome.tier, outcome.team);
      totalsByRow.set(rowKey, totals);
      addOutcome(totals, result, outcome);
    },
    flushRows: () => {
      const rows = [...totalsByRow.values()].map(toRow);
      totalsByRow = new Map();
      return rows;
    },
  };
};
