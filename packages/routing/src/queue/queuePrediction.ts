import type { RankedRequest } from './rankedRequest.js';
import type { PredictedWait } from './predictedWait.js';

/** The prediction for a request that is, or would be, queued now. */
export interface QueuePrediction extends PredictedWait {
  readonly rankedRequest: RankedRequest;
  /** Number of waiting requests that are sent before it. */
  readonly requestsAhead: number;
  /** From sending to the first event of the response, in milliseconds. */
  readonly firstEventMs: number;
}
