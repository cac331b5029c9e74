import type { LatencyModel } from '../targets/latencyModel.js';
import { updateAverage } from '../targets/updateAverage.js';

/** The weight of one response, the same as in the other averages of the latency model. */
const SAMPLE_WEIGHT = 0.05;

/**
 * Adds the service time of a response, in milliseconds, to the reference against which targets count as fast or slow. The
 * other estimates of the model are means over the same responses, so that both fit together. It starts from the median over
 * the targets, which is the reference before.
 */
export const recordReferenceServiceTime = (
  latencyModel: LatencyModel,
  serviceTimeMs: number,
  medianServiceTimeMs: number | undefined,
): LatencyModel => ({
  ...latencyModel,
  referenceServiceTimeMs: updateAverage(
    latencyModel.referenceServiceTimeMs ?? medianServiceTimeMs,
    serviceTimeMs,
    SAMPLE_WEIGHT,
  ),
});
