/** What became of one request's prefill, by the caller's mark. */
interface RunStats {
  readonly runs: number;
  readonly prefillTokens: number;
  readonly cachedTokens: number;
  readonly tokensDone: number;
  /** Wall clock of the first run's arrival, in milliseconds since 1970. */
  readonly arrivedAtMs: number;
  readonly outcome: 'open' | 'ended' | 'cancelled';
}

/** Counters of an engine since its start; times in engine milliseconds. */
export interface EngineStats {
  readonly runsByRequest: Readonly<Record<string, number>>;
  readonly runsByLabel: Readonly<Record<string, RunStats>>;
  readonly prefillTokensComputed: number;
  readonly prefillTokensSpared: number;
  readonly prefillTokensCancelled: number;
  readonly decodeTokens: number;
  readonly steps: number;
  /** Wall milliseconds by which steps ended after their time, summed; large when the machine is busy. */
  readonly lateWallMs: number;
  readonly busyMs: number;
  readonly elapsedMs: number;
  readonly idleShare: number;
}
