/** Statistics of the runs that share one label of the caller. */
interface RunStats {
  readonly runs: number;
  readonly prefillTokens: number;
  readonly cachedTokens: number;
  readonly tokensDone: number;
  /** Wall-clock time at which the first run arrived, in milliseconds since 1970. */
  readonly arrivedAtMs: number;
  readonly outcome: 'open' | 'ended' | 'cancelled';
}

/**
 * Statistics of an engine since its start. Durations are in engine milliseconds unless stated
 * otherwise.
 */
export interface EngineStats {
  readonly runsByRequest: Readonly<Record<string, number>>;
  readonly runsByLabel: Readonly<Record<string, RunStats>>;
  readonly prefillTokensComputed: number;
  readonly prefillTokensSpared: number;
  readonly prefillTokensCancelled: number;
  readonly decodeTokens: number;
  readonly steps: number;
  /**
   * Sum of the delays, in wall-clock milliseconds, with which steps ended. It grows when the
   * machine is busy.
   */
  readonly lateWallMs: number;
  readonly busyMs: number;
  readonly elapsedMs: number;
  readonly idleShare: number;
}
