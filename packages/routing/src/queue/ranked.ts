import type { TrackedRequest } from '../requests/trackedRequest.js';

/** A waiting request and its place in the order. */
export interface Ranked {
  readonly request: TrackedRequest;
  /** The team's own priority; the lane where it has none. */
  readonly rank: number;
  /** Rows of one rank go out in the order of their lanes. */
  readonly lane: number;
  readonly isLate: boolean;
}
