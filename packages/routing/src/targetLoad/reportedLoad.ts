/** The load that a target states in the head of a response. */
export interface ReportedLoad {
  readonly running: number;
  /** Requests that it has accepted and not started. */
  readonly waiting: number;
  /** Requests that it runs concurrently; at least 1. */
  readonly slots: number;
  /** How long work takes there at this moment, in percent of what is usual for this target. */
  readonly workTimePercent: number;
}
