import type { EngineRequest } from './engineRequest.js';
import type { EngineStats } from './engineStats.js';

type Run = EngineStats['runsByLabel'][string];

const NEW_RUN: Run = {
  runs: 0,
  prefillTokens: 0,
  cachedTokens: 0,
  tokensDone: 0,
  arrivedAtMs: 0,
  outcome: 'open',
};

/** Counts what an engine does. */
export class EngineCounters {
  private readonly runsByRequest = new Map<string, number>();
  private readonly runsByLabel = new Map<string, Run>();
  private readonly startedAtMs = performance.now();
  private prefillTokensComputed = 0;
  private prefillTokensSpared = 0;
  private prefillTokensCancelled = 0;
  private decodeTokens = 0;
  private steps = 0;
  private busyMs = 0;
  private lateWallMs = 0;

  constructor(private readonly timeScale: number) {}

  /** Notes that a request was taken in. */
  countRun({ requestId, label }: EngineRequest): void {
    this.runsByRequest.set(requestId, (this.runsByRequest.get(requestId) ?? 0) + 1);
    this.update(label, (run) => ({
      ...run,
      runs: run.runs + 1,
      arrivedAtMs: run.arrivedAtMs === 0 ? Date.now() : run.arrivedAtMs,
    }));
  }

  /** Notes what the prefix cache spared a request. */
  countCached({ label, cachedTokens }: EngineRequest): void {
    this.prefillTokensSpared += cachedTokens;
    this.update(label, (run) => ({ ...run, cachedTokens: run.cachedTokens + cachedTokens }));
  }

  /** Notes prefill tokens computed. */
  countPrefill({ label }: EngineRequest, tokens: number): void {
    this.prefillTokensComputed += tokens;
    this.update(label, (run) => ({ ...run, prefillTokens: run.prefillTokens + tokens }));
  }

  /** Notes one token generated. */
  countToken(): void {
    this.decodeTokens += 1;
  }

  /** Notes the end of a request. */
  countEnd({ label, tokensDone }: EngineRequest, outcome: 'ended' | 'cancelled'): void {
    this.update(label, (run) => ({ ...run, outcome, tokensDone }));
    if (outcome === 'cancelled') {
      this.prefillTokensCancelled += this.runsByLabel.get(label)?.prefillTokens ?? 0;
    }
  }

  /** Notes one step, its length in engine milliseconds and by how many wall milliseconds it ended late. */
  countStep(durationMs: number, lateWallMs: number): void {
    this.lateWallMs += Math.max(0, lateWallMs);
    this.steps += 1;
    this.busyMs += durationMs;
  }

  /** The counters now. */
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

  private update(label: string, change: (run: Run) => Run): void {
    this.runsByLabel.set(label, change(this.runsByLabel.get(label) ?? NEW_RUN));
  }
}
