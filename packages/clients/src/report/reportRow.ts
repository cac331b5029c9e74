import type { Tier } from '@parsleyhall/common';

/** Outcomes of one team's requests of one tier that reached their final outcome in the reported period. */
export interface ReportRow {
  readonly tier: Tier;
  readonly team: string;
  /** Number of all these requests; equals the sum of the counts by outcome below. */
  readonly sent: number;
  /** Answered completely, within the deadline and the limit of the time to the first token. */
  readonly inTime: number;
  /** Answered completely, but late. */
  readonly late: number;
  /** Rejected without being run, by reason (shed, draining, teamLimit, ...), excluding `deadlineExceeded`. */
  readonly notRunByReason: Readonly<Record<string, number>>;
  /** Not run because the deadline had passed or could not be met. */
  readonly deadlineExceeded: number;
  /** The request may or may not have run. */
  readonly outcomeUnknown: number;
  /** Response cut off by the target, or request cancelled by the caller. */
  readonly failed: number;
  /** Prompt tokens that the targets prefilled. */
  readonly prefillTokens: number;
  /** Prefilled tokens whose response did not reach a caller in time, by cause (late, hungUp, failed, ...). */
  readonly wastedPrefillTokensByCause: Readonly<Record<string, number>>;
  /** Time to the first token in milliseconds, as a compressed HDR histogram in base64; absent without samples. */
  readonly firstTokenHistogram?: string | undefined;
}
