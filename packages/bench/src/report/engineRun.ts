/** What the engines did for one attempt of a call, over all engines. */
export interface EngineRun {
  readonly runs: number;
  readonly prefillTokens: number;
  readonly cachedTokens: number;
  readonly arrivedAtMs: number;
}
