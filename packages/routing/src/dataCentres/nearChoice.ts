import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { LatencyModel } from '../targets/latencyModel.js';
import type { TargetPrediction } from '../targets/targetPrediction.js';
import type { Locality } from './locality.js';

/** What the choice of a target by data centre is made from. */
export interface NearChoice {
  readonly request: TrackedRequest;
  /** Of targets that the request may be sent to, with or without a free slot. */
  readonly predictions: readonly TargetPrediction[];
  readonly locality: Locality;
  readonly latencyModel: LatencyModel;
  /** Expected duration of the waiting requests that are sent before this one, in milliseconds. */
  readonly workAheadMs: number;
  /** A slot at home is predicted to become free so soon that the objective is still met. */
  readonly canWait: boolean;
  readonly nowMs: number;
}
