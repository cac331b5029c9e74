import type { RequestId, TeamName, Tier } from '@parsleyhall/common';

/** How a request ended for its caller, for the metrics and the burn report. */
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
  /** Why the request did not run or failed; empty when `result` says it all. */
  readonly reason: string;
  readonly totalMs: number;
  /** Time to the first byte of the response body; undefined when none was sent. */
  readonly firstTokenMs: number | undefined;
  readonly isStreaming: boolean;
  /** Prompt tokens that the target computed, as far as known. */
  readonly prefillTokens: number;
}
