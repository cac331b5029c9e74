import type { Candidate } from './candidate.js';

/** The predicted latency and cost of a request at a target. */
export interface TargetPrediction {
  readonly candidate: Candidate;
  /** From sending to the first event of a stream, or to the complete non-streaming response, in milliseconds. */
  readonly firstEventMs: number;
  /** From sending to the end of the response, in milliseconds. */
  readonly durationMs: number;
  /** The first event or response is predicted to meet the objective. */
  readonly isOnTime: boolean;
  /** Without the cost of crossing between data centres, in milliseconds; only used to compare targets. */
  readonly costMs: number;
}
