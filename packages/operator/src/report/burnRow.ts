import type { Tier } from '@parsleyhall/common';

/** Results of one tier, or of one team within it, against its objective. Shares range from 0 to 1. */
export interface BurnRow {
  readonly tier: Tier;
  /** Absent in the total of all teams of the tier. */
  readonly team?: string | undefined;
  /** Requests that count towards the objective: all except those over their team's limit. */
  readonly counted: number;
  readonly inTime: number;
  readonly late: number;
  readonly notRun: number;
  readonly deadlineExceeded: number;
  readonly outcomeUnknown: number;
  readonly failed: number;
  /** Requests refused because of their team's limit. */
  readonly notCounted: number;
  readonly objective: number;
  readonly achieved: number;
  /** Remaining share of the long window's error budget; below 0 when overspent, absent without a budget. */
  readonly budgetLeft?: number | undefined;
  /** Rate at which the budget is spent; at 1 it lasts exactly for the window. Absent without a budget. */
  readonly burnRateLong?: number | undefined;
  readonly burnRateShort?: number | undefined;
  readonly firstTokenP50Ms?: number | undefined;
  readonly firstTokenP95Ms?: number | undefined;
  readonly prefillTokens: number;
  readonly wastedPrefillTokens: number;
  readonly wastedPrefillTokensByCause: Readonly<Record<string, number>>;
  /** In the operator's currency, at the prices of the presets. */
  readonly wastedPrefillCost: number;
}
