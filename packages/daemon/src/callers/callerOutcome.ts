import type { RequestId, TeamName, Tier } from '@parsleyhall/common';

/** How a request ended towards its caller, for the metrics and the report. */
export interface CallerOutcome {
  readonly requestId: RequestId;
  readonly team: TeamName;
  readonly tier: Tier;
  readonly result:
    | 'inTime'
    | 'late'
    | 'notRun'
    | 'deadlineExceeded'
    | 'outcomeUnknown'
    | 'invalid'
    | 'cut'
    | 'hungUp';
  /** Reason of a request that did not run; empty otherwise. */
  readonly reason: string;
  readonly totalMs: number;
  /** Time to the first byte of the body; undefined without one. */
  readonly firstTokenMs: number | undefined;
  readonly isStreaming: boolean;
  /** Prompt tokens that the target computed, as far as they are known. */
  readonly prefillTokens: number;
}
