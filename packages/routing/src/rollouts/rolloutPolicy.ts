/** The bounds on what a version that is being rolled out may receive, summed over all entries. */
export interface RolloutPolicy {
  /** The share of the requests of the service that a bad version may get at most, from 0 to 1. */
  readonly maxShare: number;
  /** Requests that it may get in addition. */
  readonly extraSends: number;
  /** The longest time for which it may get requests after its 50th bad response, in milliseconds. */
  readonly stopWithinMs: number;
}
