import type { BurnRow } from './burnRow.js';
import { formatBurnValue } from './formatBurnValue.js';

interface BurnTableColumn {
  readonly title: string;
  readonly format: (row: BurnRow) => string;
}

const { share, rate, count, cost, milliseconds } = formatBurnValue;

/** Columns of the burn report, in order, both in the terminal and on the page. */
export const BURN_TABLE_COLUMNS: readonly BurnTableColumn[] = [
  { title: 'tier', format: ({ tier }) => String(tier) },
  { title: 'team', format: ({ team }) => team ?? 'all' },
  { title: 'counted', format: ({ counted }) => count(counted) },
  { title: 'objective', format: ({ objective }) => share(objective) },
  { title: 'achieved', format: ({ achieved }) => share(achieved) },
  { title: 'budget left', format: ({ budgetLeft }) => share(budgetLeft) },
  { title: 'burn, short', format: ({ burnRateShort }) => rate(burnRateShort) },
  { title: 'burn, long', format: ({ burnRateLong }) => rate(burnRateLong) },
  { title: 'not run', format: ({ notRun }) => count(notRun) },
  { title: 'deadline', format: ({ deadlineExceeded }) => count(deadlineExceeded) },
  { title: 'unknown', format: ({ outcomeUnknown }) => count(outcomeUnknown) },
  { title: 'first token p95 ms', format: ({ firstTokenP95Ms }) => milliseconds(firstTokenP95Ms) },
  { title: 'prefill', format: ({ prefillTokens }) => count(prefillTokens) },
  { title: 'wasted', format: ({ wastedPrefillTokens }) => count(wastedPrefillTokens) },
  { title: 'wasted cost', format: ({ wastedPrefillCost }) => cost(wastedPrefillCost) },
];
