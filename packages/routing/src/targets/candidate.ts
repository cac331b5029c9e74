import type { Target } from './target.js';

/** A target with what all entries together have there. */
export interface Candidate {
  readonly target: Target;
  readonly totalInFlight: number;
}
