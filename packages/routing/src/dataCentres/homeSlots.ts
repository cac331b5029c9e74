import type { Candidate } from '../targets/candidate.js';

/** The slots at home that a waiting request can count on. */
export interface HomeSlots {
  /** Requests that this entry may send to targets at home now. */
  readonly free: number;
  /** Slots of working targets at home that this entry's requests use. */
  readonly held: number;
  /** The fastest working target at home; undefined if none works well enough to wait for. */
  readonly fastest: Candidate | undefined;
}
