import type { EngineRequest } from './engineRequest.js';
import type { EngineStats } from './engineStats.js';

type RunStats = EngineStats['runsByLabel'][string];

const EMPTY_RUN_STATS: RunStats = {
  runs: 0,
  prefillTokens: 0,
  cachedTokens: 0,
  tokensDone: 0,
  arrivedAtMs: 0,
  outcome: 'open',
};

/** Collects the statistics of an engine. */
export class EngineCounters {
  private readonly runsByRequest = new Map<string, number>();
  private readonly runsByLabel = new Map<string, RunStats>();
  private readonly startedAtMs = performance.now();
  private prefillTokensComputed = 0;
  private prefillTokensSpared = 0;
  private prefillTokensCancelled = 0;
  private decodeTokens = 0;
  private steps = 0;
  private busyMs = 0;
  private lateWallMs = 0;

  constructor(private readonly timeScale: number) {}

  /** Records the arrival of a request. */
  recordArrival({ requestId, label }: EngineRequest): void {
    this.runsByRequest.set(requestId, (this.runsByRequest.get(requestId) ?? 0) + 1);
    this.updateRunStats(label, (run) => ({
      ...run,
      runs: run.runs + 1,
      arrivedAtMs: run.arrivedAtMs === 0 ? Date.now() : run.arrivedAtMs,
    }));
  }

  /** Records the prefill tokens that a request did not need because of the prefix cache. */
  recordCachedTokens({ label, cachedTokens }: EngineRequest): void {
    this.prefillTokensSpared += cachedTokens;
    this.updateRunStats(label, (run) => ({
      ...run,
      cachedTokens: run.cachedTokens + cachedTokens,
    }));
  }

  /** Records computed prefill tokens. */
  recordPrefill({ label }: EngineRequest, tokens: number): void {
    this.prefillTokensComputed += tokens;
    this.updateRunStats(label, (run) => ({ ...run, prefillTokens: run.prefillTokens + tokens }));
  }

  /** Records one generated token. */
  recordToken(): void {
    this.decodeTokens += 1;
  }

  /** Records the end of a request. */
  recordEnd({ label, tokensDone }: EngineRequest, outcome: 'ended' | 'cancelled'): void {
    this.updateRunStats(label, (run) => ({ ...run, outcome, tokensDone }));
    if (outcome === 'cancelled') {
      this.prefillTokensCancelled += this.runsByLabel.get(label)?.prefillTokens ?? 0;
    }
  }

  /**
   * Records a step: its duration in engine milliseconds and how late it ended in wall-clock
   * milliseconds.
   */
  recordStep(durationMs: number, lateWallMs: number): void {
    this.lateWallMs += Math.max(0, lateWallMs);
    this.steps += 1;
    this.busyMs += durationMs;
  }

  /** Returns the current statistics. */
  read(): EngineStats {
    const elapsedMs = (performance.now() - this.startedAtMs) * this.timeScale;
    return {
      runsByRequest: Object.fromEntries(this.runsByRequest),
      runsByLabel: Object.fromEntries(this.runsByLabel),
      prefillTokensComputed: this.prefillTokensComputed,
      prefillTokensSpared: this.prefillTokensSpared,
      prefillTokensCancelled: this.prefillTokensCancelled,
      decodeTokens: this.decodeTokens,
      steps: this.steps,
      lateWallMs: this.lateWallMs,
      busyMs: this.busyMs,
      elapsedMs,
      idleShare: Math.max(0, 1 - this.busyMs / elapsedMs),
    };
  }

  private updateRunStats(label: string, change: (run: RunStats) => RunStats): void {
    this.runsByLabel.set(label, change(this.runsByLabel.get(label) ?? EMPTY_RUN_STATS));
  }
}
