import type { Target } from './target.js';

/** A target and the number of requests that all entries together have in flight there. */
export interface Candidate {
  readonly target: Target;
  readonly totalInFlight: number;
}
