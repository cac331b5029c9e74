import { encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { TeamName, Tier } from '@parsleyhall/common';
import type { ReportRow } from '@parsleyhall/clients';
import type { CallerOutcome } from '../callers/callerOutcome.js';
import { newDurationHistogram } from '@parsleyhall/metrics';
import type { ReportAccount } from './reportAccount.js';

interface Sums {
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

// A caller's own mistake is no failure of the service.
type ReportedResult = Exclude<CallerOutcome['result'], 'invalid'>;

const newSums = (tier: Tier, team: TeamName): Sums => ({
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

const addTo = (counts: Record<string, number>, name: string, amount: number): void => {
  counts[name] = (counts[name] ?? 0) + amount;
};

const addResult = (
  sums: Sums,
  { result, reason }: { readonly result: ReportedResult; readonly reason: string },
): void => {
  switch (result) {
    case 'inTime':
    case 'late':
    case 'deadlineExceeded':
    case 'outcomeUnknown':
      sums[result] += 1;
      return;
    case 'notRun':
      addTo(sums.notRunByReason, reason, 1);
      return;
    case 'cut':
    case 'hungUp':
      sums.failed += 1;
  }
};

const addOutcome = (sums: Sums, result: ReportedResult, outcome: CallerOutcome): void => {
  sums.sent += 1;
  addResult(sums, { result, reason: outcome.reason });
  sums.prefillTokens += outcome.prefillTokens;
  if (result !== 'inTime' && outcome.prefillTokens > 0) {
    addTo(sums.wastedPrefillTokensByCause, result, outcome.prefillTokens);
  }
  if (outcome.firstTokenMs !== undefined) {
    sums.firstToken.recordValue(outcome.firstTokenMs);
  }
};

const toRow = ({ firstToken, ...sums }: Sums): ReportRow => ({
  ...sums,
  ...(firstToken.totalCount === 0
    ? {}
    : { firstTokenHistogram: encodeIntoCompressedBase64(firstToken) }),
});

/** Creates an account with nothing in it. */
export const createReportAccount = (): ReportAccount => {
  let sumsByRow = new Map<string, Sums>();
  return {
    add: (outcome) => {
      const { result } = outcome;
      if (result === 'invalid') {
        return;
      }
      const row = `${outcome.tier} ${outcome.team}`;
      const sums = sumsByRow.get(row) ?? newSums(outcome.tier, outcome.team);
      sumsByRow.set(row, sums);
      addOutcome(sums, result, outcome);
    },
    takeRows: () => {
      const rows = [...sumsByRow.values()].map(toRow);
      sumsByRow = new Map();
      return rows;
    },
  };
};
