import { MAX_RESERVED_SHARE } from './maxReservedShare.js';
import type { MemoryStatistics } from './memoryStatistics.js';

/** Left free for outputs that are longer than expected and for requests that were cancelled a moment ago. */
const MARGIN_SHARE = 0.05;
/** How many standard deviations above its mean the work that others send unheard may be. */
const DEVIATIONS = 3;

/**
 * The tokens of a target's memory that this entry leaves free: a margin, and what the other entries may send there before
 * their next digests. Their sends count as independent, so that number and tokens form a compound Poisson distribution.
 */
export const getReservedTokens = (
  memoryTokens: number,
  statistics: Pick<MemoryStatistics, 'meanTokens' | 'meanSquaredTokens'> | undefined,
  unheardSendsPerTarget: number,
): number => {
  const marginTokens = MARGIN_SHARE * memoryTokens;
  if (statistics === undefined) {
    return marginTokens;
  }
  const { meanTokens, meanSquaredTokens } = statistics;
  const deviation = Math.sqrt(unheardSendsPerTarget * meanSquaredTokens);
  const unheardTokens = unheardSendsPerTarget * meanTokens + DEVIATIONS * deviation;
  return Math.min(MAX_RESERVED_SHARE * memoryTokens, marginTokens + unheardTokens);
};
