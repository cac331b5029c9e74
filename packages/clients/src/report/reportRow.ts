import type { Tier } from '@parsleyhall/common';

/** What became of one team's requests of one tier that reached their final answer in a span of time. */
export interface ReportRow {
  readonly tier: Tier;
  readonly team: string;
  /** All that reached their final answer; the counts below add up to it. */
  readonly sent: number;
  /** Answered whole, within the deadline and the bound of the first token. */
  readonly inTime: number;
  /** Answered whole, but late. */
  readonly late: number;
  /** Refused as not run, by reason (shed, draining, teamLimit, ...), without the deadlines. */
  readonly notRunByReason: Readonly<Record<string, number>>;
  /** Not run because the deadline passed or could not be met. */
  readonly deadlineExceeded: number;
  readonly outcomeUnknown: number;
  /** Cut by the target, or given up by the caller. */
  readonly failed: number;
  /** Prompt tokens that targets computed. */
  readonly prefillTokens: number;
  /** Those of them whose answer reached no caller in time, by cause (late, hungUp, failed, ...). */
  readonly wastedPrefillTokensByCause: Readonly<Record<string, number>>;
  /** Time to the first token in milliseconds, as a compressed HDR histogram in base64; absent without a sample. */
  readonly firstTokenHistogram?: string | undefined;
}
