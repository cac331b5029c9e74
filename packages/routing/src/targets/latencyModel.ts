/** Estimated latencies of a service, averaged over all its targets, in milliseconds. */
export interface LatencyModel {
  /** From sending to the first event, for a short prompt. */
  readonly firstEventMs: number;
  /** Additional time to the first event, per prompt token. */
  readonly prefillMsPerToken: number;
  /** From the first event to the last, per expected output token. */
  readonly outputMsPerToken: number;
  /** From sending to the end of the response, over all requests. */
  readonly meanDurationMs: number;
  /** Mean service time of the same responses; undefined until a target that reports its load has answered. */
  readonly referenceServiceTimeMs?: number;
}
