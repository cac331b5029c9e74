import type { TargetMemory } from '../memory/targetMemory.js';
import type { Target } from './target.js';

/** A target, with the requests that it can take now. */
export interface Candidate {
  readonly target: Target;
  /** Requests that all entries together have in flight there. */
  readonly totalInFlight: number;
  /** Requests that it runs concurrently, by its own report or else by the list. */
  readonly slots: number;
  /** Requests that this entry may send there at once, by the free slots and the target's limit. */
  readonly freeSlots: number;
  /**
   * Requests that this entry may still send there before its next digest, by its share of the free slots; undefined if they
   * are not contested.
   */
  readonly sendsLeft?: number;
  /** Mean number of further requests for which it has room, by its slots and its memory. */
  readonly freeRequests: number;
  /** Prompt tokens there whose responses have not started: this entry's, and those of the others if it reports its load. */
  readonly pendingPromptTokens: number;
  /** Undefined if its memory is not limited. */
  readonly memory?: TargetMemory;
  /** Mean share by which its predicted cost is raised, so that many entries with one report do not choose alike. */
  readonly spread: number;
}
