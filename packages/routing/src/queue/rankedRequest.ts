import type { TrackedRequest } from '../requests/trackedRequest.js';

/** A waiting request and its sort keys in the queue; lower values are sent first. */
export interface RankedRequest {
  readonly request: TrackedRequest;
  /** The team's priority; the priority class if the team has none. */
  readonly priority: number;
  /** Orders requests of equal priority: short requests first, then by tier. */
  readonly priorityClass: number;
  /** Predicted to miss its objective; sorted behind requests of its class that can still meet theirs. */
  readonly isLate: boolean;
}
