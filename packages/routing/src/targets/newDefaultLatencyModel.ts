import type { LatencyModel } from './latencyModel.js';

/** The estimates that are assumed before the first response is complete. */
export const newDefaultLatencyModel = (): LatencyModel => ({
  firstEventMs: 20,
  prefillMsPerToken: 0.02,
  outputMsPerToken: 4,
  meanDurationMs: 100,
});
