/** The room taken by outstanding grants and running requests. */
export interface Occupancy {
  readonly requests: number;
  readonly byTier: readonly [number, number, number, number];
  /** Prefill and decode tokens. */
  readonly tokens: number;
  readonly longPrefills: number;
  /** Prefill tokens whose first token has not been seen. */
  readonly prefillTokensAhead: number;
}
