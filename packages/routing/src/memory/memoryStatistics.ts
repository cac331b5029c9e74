import type { Map } from 'immutable';
import type { RecentRate } from './recentRate.js';
import type { ServedShare } from './servedShare.js';

/** What the admitted requests of a service hold at targets, as moving averages. */
export interface MemoryStatistics {
  readonly meanTokens: number;
  /** Mean of the squared tokens, which the largest requests dominate. */
  readonly meanSquaredTokens: number;
  /** Mean size of the requests of each kind, by route name. */
  readonly meanSizes: Readonly<Record<string, number>>;
  readonly arrivals: RecentRate;
  /** By group of requests. */
  readonly shares: Map<string, ServedShare>;
}
