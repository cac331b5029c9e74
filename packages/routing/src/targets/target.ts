import type { ListedTarget } from './listedTarget.js';

/** A listed target with what this entry has learned of it. */
export interface Target {
  readonly listed: ListedTarget;
  /** Requests of this entry that it has. */
  readonly inFlight: number;
  /** Prompt tokens of this entry's requests that have not begun there. */
  readonly prefillTokens: number;
  /** Mean time between a stream's events, or of a whole plain answer, in milliseconds; undefined until one ended. */
  readonly paceMs?: number;
  /** Share of the latest sends that failed, from 0 to 1; newer ones weigh more. */
  readonly failureShare: number;
  /** Gets no new work before this moment, in milliseconds of the steady clock. */
  readonly restsUntilMs: number;
}
