import type { BurnRow } from './burnRow.js';

const getMisses = ({ counted, inTime }: BurnRow): number => counted - inTime;

/** Selects up to `limit` rows with the most misses, then the most wasted prefill, and keeps their original order. */
export const getWorstRows = (rows: readonly BurnRow[], limit: number): readonly BurnRow[] => {
  const worst = new Set(
    [...rows]
      .sort(
        (left, right) =>
          getMisses(right) - getMisses(left) ||
          right.wastedPrefillTokens - left.wastedPrefillTokens,
      )
      .slice(0, limit),
  );
  return rows.filter((row) => worst.has(row));
};
