import type { Route } from '../configuration/route.js';
import type { Send } from './send.js';

/** A request between its arrival and its final response. Moments are in milliseconds of the monotonic clock. */
export interface TrackedRequest {
  readonly requestId: number;
  /** The caller's id of this attempt. */
  readonly attemptId?: string;
  readonly route: Route;
  readonly service: string;
  /** The caller's key; undefined if it sent none. */
  readonly key?: string;
  /** The team that held the key when the request was admitted. */
  readonly team?: string;
  /** The team's priority, which takes precedence over that of the route; 0 is the highest. */
  readonly teamPriority?: number;
  /** The route's priority, which decides among teams of equal priority; 0 is the highest. */
  readonly tier: number;
  /** When it arrived, by the best estimate. */
  readonly arrivedAtMs: number;
  /** How long it may have waited before this entry read it, in milliseconds; undefined if negligible. */
  readonly unreadMs?: number;
  /** After this moment the response, or the first event of a stream, misses the route's objective. */
  readonly objectiveAtMs: number;
  /** At this moment the caller gives up unless the response has started. */
  readonly responseStartDeadlineAtMs: number;
  /**
   * At this moment the caller gives up even if the response has started, by the best estimate of the arrival. Orders
   * requests, and refuses those that are at no target.
   */
  readonly deadlineAtMs: number;
  /** The latest moment at which the deadline can pass. Ends what is under way. */
  readonly latestDeadlineAtMs: number;
  /** Length of the body; 0 if unknown. */
  readonly bodyBytes: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Tokens that it is expected to hold at a target, with a margin for its output. */
  readonly heldTokens: number;
  /** The caller states no prompt tokens, so that the mean of the service counts as held. */
  readonly isSizeUnknown?: boolean;
  /** A random 32-bit number that spreads requests over targets of similar cost. */
  readonly spreadSeed: number;
  /** Ids of the parts of the prompt that other requests may share, in order. */
  readonly sharedPromptParts: readonly string[];
  readonly quotaCost: number;
  /** Its team's quota is used up and the request was admitted within the overshoot tolerance. */
  readonly isBeyondQuota: boolean;
  /** The current send; undefined while the request waits. */
  readonly send?: Send;
  /** Targets that the request was sent to. */
  readonly triedTargetIds: readonly string[];
  /** Sends that reached a target or may have reached one; bounded by the route's `maxAttempts`. */
  readonly attempts: number;
  /** All sends, including those for which no connection could be made. */
  readonly sends: number;
  /** Whether a target may have run the request. */
  readonly mayHaveRun: boolean;
  /** Whether the head of the response was forwarded to the caller. */
  readonly hasResponseStarted: boolean;
  /** Whether no other target's response can continue what the caller has received. */
  readonly isCommitted: boolean;
}
