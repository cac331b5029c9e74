import type { Tier } from '@parsleyhall/common';
import type { getPercentiles } from './getPercentiles.js';
import type { WastedPrefill } from './wastedPrefill.js';

type Percentiles = ReturnType<typeof getPercentiles>;

/** What became of the calls of one tier; times in engine milliseconds. */
export interface TierReport {
  readonly tier: Tier;
  readonly sent: number;
  readonly inTime: number;
  readonly late: number;
  readonly hungUp: number;
  /** Calls that ended as not run, by the reason of the last refusal. */
  readonly notRunByReason: Readonly<Record<string, number>>;
  /** Calls whose answer was cut, wrong, unknown, invalid or never came. */
  readonly failedByResult: Readonly<Record<string, number>>;
  /** In-time share of the calls whose callers did not hang up, from 0 to 1. */
  readonly goodput: number;
  readonly firstToken: Percentiles;
  readonly betweenTokens: Percentiles;
  readonly prefillTokens: number;
  readonly wasted: WastedPrefill;
}
