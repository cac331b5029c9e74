import type { BrokenSends } from './brokenSends.js';
import type { LoadReport } from '../targetLoad/loadReport.js';
import type { NetSends } from '../targetLoad/netSends.js';
import type { ListedTarget } from './listedTarget.js';

/** A listed target and what this entry has learned about it. */
export interface Target {
  readonly listed: ListedTarget;
  /** Hash of its id, which spreads requests over targets of similar cost. */
  readonly spreadHash: number;
  /** The latest load that it reported since its current start; undefined if it reports none. */
  readonly load?: LoadReport;
  /** Its latest report of its load could not be used. */
  readonly isLoadMalformed?: boolean;
  /** When this entry last sent a request there, in milliseconds of the monotonic clock; undefined before. */
  readonly lastSentAtMs?: number;
  /** Undefined before the first send. */
  readonly netSends?: NetSends;
  /** Number of this entry's requests in flight there. */
  readonly inFlight: number;
  /** Tokens that this entry's requests are expected to hold there. */
  readonly heldTokens: number;
  /** Prompt tokens of this entry's requests there whose responses have not started. */
  readonly pendingPromptTokens: number;
  /**
   * Mean time per event of a stream, or per non-streaming response, in milliseconds, without the momentary slowness that
   * the target reports; undefined before the first one ends.
   */
  readonly serviceTimeMs?: number;
  /**
   * When a response was last seen not to have begun there within its objective, in milliseconds of the monotonic clock;
   * undefined if that was never seen.
   */
  readonly overdueAtMs?: number;
  /** Sends of this entry that broke off there lately; undefined if none has. */
  readonly brokenSends?: BrokenSends;
  /** Moving average of the share of sends that failed, from 0 to 1. */
  readonly failureShare: number;
  /** Its latest failed send was one that it rejected without running it. */
  readonly isRejecting?: boolean;
  /**
   * Gets no new work before this moment, in milliseconds of the monotonic clock, unless all others are on cooldown
   * too.
   */
  readonly cooldownUntilMs: number;
}
