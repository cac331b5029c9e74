const PERCENT = 100;
const SHARE_DIGITS = 2;
const RATE_DIGITS = 2;

/** Formatters for the numbers of a burn report. */
export const formatBurnValue = {
  share: (share: number | undefined): string =>
    share === undefined ? 'no budget' : `${(share * PERCENT).toFixed(SHARE_DIGITS)}%`,
  rate: (rate: number | undefined): string =>
    rate === undefined ? 'no budget' : rate.toFixed(RATE_DIGITS),
  count: (count: number): string => count.toLocaleString('en'),
  cost: (cost: number): string =>
    cost.toLocaleString('en', { minimumFractionDigits: 2, maximumFractionDigits: 2 }),
  milliseconds: (milliseconds: number | undefined): string =>
    milliseconds === undefined ? '' : Math.round(milliseconds).toLocaleString('en'),
} as const;
