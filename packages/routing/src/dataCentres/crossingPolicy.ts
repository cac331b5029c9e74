/** What a request to another data centre costs. */
export interface CrossingPolicy {
  /** Time that the link adds to a response, in milliseconds. */
  readonly delayMs: number;
  /** Price of the bytes that cross, as the delay per megabyte that is accepted to avoid it, in milliseconds. */
  readonly costMsPerMegabyte: number;
}
