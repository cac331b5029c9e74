/** How long work takes in a service, over all its targets. */
export interface ServicePace {
  /** From sending to the first event of a short prompt. */
  readonly firstMs: number;
  /** From sending to the first event, per prompt token, beyond that of a short prompt. */
  readonly prefillMsPerToken: number;
  /** From the first event to the last, per expected output token. */
  readonly outputMsPerToken: number;
  /** From sending to the end, of any request. */
  readonly runMs: number;
}
