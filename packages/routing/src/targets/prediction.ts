import type { Candidate } from './candidate.js';

/** What is expected of a request at a target. */
export interface Prediction {
  readonly candidate: Candidate;
  /** From sending to the first event or the whole plain answer, in milliseconds. */
  readonly firstMs: number;
  /** From sending to the end, in milliseconds. */
  readonly runMs: number;
  /** In milliseconds; only the order of costs counts. */
  readonly costMs: number;
}
