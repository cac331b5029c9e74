import type { ReportedLoad } from './reportedLoad.js';

/** The latest load that a target reported since its current start. */
export interface LoadReport extends ReportedLoad {
  /** Requests at the target by its report, less those that were known in flight there when the report arrived. */
  readonly correction: number;
  /** The target has requests waiting, or has rejected one with this report. */
  readonly isFull: boolean;
  /** In milliseconds of the monotonic clock. */
  readonly reportedAtMs: number;
}
