import type { Target } from './target.js';

/** A target, with what it takes now. */
export interface Candidate {
  readonly target: Target;
  /** Requests that all entries together have in flight there. */
  readonly totalInFlight: number;
  /** Requests that this entry may send there at once, by the free slots and the target's limit. */
  readonly freeSlots: number;
}
