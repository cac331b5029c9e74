import { formatTable } from '../report/formatTable.js';
import type { RunReport } from '../report/runReport.js';

const HEAD = [
  'tier',
  'sent',
  'in time',
  'shed',
  'refused otherwise',
  'first token p50 ms',
  'first token p95 ms',
  'wasted prefill tokens',
];

/** The demo's table by tier. */
export const formatDemoTable = ({ tiers }: RunReport): string =>
  formatTable(
    HEAD,
    tiers.map(({ tier, sent, inTime, notRunByReason, firstToken, wasted }) => {
      const notRun = Object.values(notRunByReason).reduce((sum, count) => sum + count, 0);
      const shed = notRunByReason.shed ?? 0;
      const hasTokens = firstToken.count > 0;
      return [
        tier,
        sent,
        inTime,
        shed,
        notRun - shed,
        hasTokens ? Math.round(firstToken.p50) : '-',
        hasTokens ? Math.round(firstToken.p95) : '-',
        wasted.late + wasted.hungUp + wasted.lost + wasted.refused,
      ];
    }),
  );
