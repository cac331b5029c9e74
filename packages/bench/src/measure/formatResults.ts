import { formatTable } from '../report/formatTable.js';
import type { PolicyResult } from './policyResult.js';

const HEAD = [
  'policy',
  'tier',
  'sent',
  'in time %',
  'late',
  'not run',
  'failed',
  'hung up',
  'first token p50/p95/p99',
  'between tokens p50/p95/p99',
  'wasted prefill',
  'prefix again',
];

const formatCounts = (counts: Readonly<Record<string, number>>): string =>
  Object.entries(counts)
    .map(([name, count]) => `${name} ${count}`)
    .join(', ') || '-';

const formatPercentiles = (times: {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}): string =>
  times.count === 0 ? '-' : [times.p50, times.p95, times.p99].map((ms) => ms.toFixed(0)).join('/');

const formatShare = (share: number): string => (share * 100).toFixed(1);

const formatTiers = (results: readonly PolicyResult[]): string =>
  formatTable(
    HEAD,
    results.flatMap(({ policy, report }) =>
      report.tiers.map((tier) => {
        const { late, hungUp, lost, refused, prefixAgain } = tier.wasted;
        return [
          policy,
          tier.tier,
          tier.sent,
          formatShare(tier.goodput),
          tier.late,
          formatCounts(tier.notRunByReason),
          formatCounts(tier.failedByResult),
          tier.hungUp,
          formatPercentiles(tier.firstToken),
          formatPercentiles(tier.betweenTokens),
          `late ${late}, hung up ${hungUp}, lost ${lost}, refused ${refused}`,
          prefixAgain,
        ];
      }),
    ),
  );

const formatTotals = (results: readonly PolicyResult[]): string =>
  formatTable(
    [
      'policy',
      'wasted prefill %',
      'with prefixes %',
      'prefill tokens',
      'dispatches',
      'idle %',
      'steps late ms',
      'shed before lower tier',
      'broken promises',
      'work after drain',
    ],
    results.map(({ policy, report, workAfterDrain }) => {
      const { shedBeforeLowerTier, ...promises } = report.checks;
      const broken = Object.fromEntries(Object.entries(promises).filter(([, count]) => count > 0));
      return [
        policy,
        formatShare(report.wastedShare),
        formatShare(report.wastedShareWithPrefixes),
        report.prefillTokens,
        report.dispatches,
        formatShare(report.idleShare),
        report.meanStepLateMs.toFixed(2),
        shedBeforeLowerTier,
        formatCounts(broken),
        workAfterDrain ?? '-',
      ];
    }),
  );

/** The tables of a measurement; times in engine milliseconds. */
export const formatResults = (results: readonly PolicyResult[]): string =>
  `${formatTiers(results)}\n${formatTotals(results)}`;
