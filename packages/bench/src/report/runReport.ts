import type { PromiseChecks } from './promiseChecks.js';
import type { TierReport } from './tierReport.js';

/** The figures of one run. */
export interface RunReport {
  readonly tiers: readonly TierReport[];
  readonly checks: PromiseChecks;
  readonly prefillTokens: number;
  /** Wasted share of all prefill, without and with prefixes computed again, from 0 to 1. */
  readonly wastedShare: number;
  readonly wastedShareWithPrefixes: number;
  readonly dispatches: number;
  /** Mean share of the engines' time without a step while calls arrived, from 0 to 1. */
  readonly idleShare: number;
  /** Mean engine milliseconds by which engine steps ended late: the machine's doing, not the product's. */
  readonly meanStepLateMs: number;
}
