import type { Tier } from '@parsleyhall/common';

/** How one tier, or one team within it, stands against its objective. Shares go from 0 to 1. */
export interface BurnRow {
  readonly tier: Tier;
  /** Absent for all teams of the tier together. */
  readonly team?: string | undefined;
  /** Requests that count against the objective: all but those over their team's limit. */
  readonly counted: number;
  readonly inTime: number;
  readonly late: number;
  readonly notRun: number;
  readonly deadlineExceeded: number;
  readonly outcomeUnknown: number;
  readonly failed: number;
  /** Refused by a limit of their team. */
  readonly notCounted: number;
  readonly objective: number;
  readonly achieved: number;
  /** Share of the error budget of the long window that is left; below 0 when overspent, absent without a budget. */
  readonly budgetLeft?: number | undefined;
  /** Speed at which the budget is spent; 1 spends it just in the window. Absent without a budget. */
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
