import type { OutcomeCounts } from './outcomeCounts.js';

/** Requests of one route and prompt size during a roll-out, as seen by this entry. */
export interface RequestKind {
  /** Requests that were sent to any target. */
  readonly requests: number;
  /** Sends to the new version. */
  readonly exposed: number;
  readonly counts: OutcomeCounts;
  /** Mean of the logarithms of the old targets' `ResponseTimes.ratio`. */
  readonly oldRatioLogMean?: number;
  /** Responses of old targets in this mean. */
  readonly oldSamples: number;
}
