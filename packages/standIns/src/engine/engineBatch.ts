import { EngineCounters } from './engineCounters.js';
import type { EngineRequest } from './engineRequest.js';
import type { EngineSettings } from './engineSettings.js';
import type { PrefixCache } from './prefixCache.js';

interface StepPlan {
  readonly prefills: readonly { readonly request: EngineRequest; readonly tokens: number }[];
  readonly decodes: readonly EngineRequest[];
  readonly durationMs: number;
}

/**
 * Limit in wall-clock milliseconds of how far a step may start in the past, to make up for late
 * timers.
 */
const MAX_CATCH_UP_MS = 50;

const isPrefilled = (request: EngineRequest): boolean => request.prefillTokensLeft === 0;

const countKeyValueTokens = (request: EngineRequest): number =>
  request.promptTokens + request.answerTokens;

/**
 * Simulates continuous batching. Requests join the batch between steps. Each step computes at most
 * one chunk of prefill tokens and generates one token for each request that has finished its prefill.
 */
export class EngineBatch {
  readonly counters: EngineCounters;
  speedFactor: number;
  private waiting: EngineRequest[] = [];
  private running: EngineRequest[] = [];
  private timer: NodeJS.Timeout | undefined;
  private stepDueAtMs = 0;
  private isStalled = false;
  private isClosed = false;

  constructor(
    private readonly settings: EngineSettings,
    private readonly cache: PrefixCache,
  ) {
    this.speedFactor = settings.speedFactor;
    this.counters = new EngineCounters(settings.timeScale);
  }

  /** Number of requests in the batch. */
  get runningRequests(): number {
    return this.running.length;
  }

  /** Number of requests that wait for KV cache memory or for a slot in the batch. */
  get waitingRequests(): number {
    return this.waiting.length;
  }

  /**
   * Share of the KV cache memory in use. From 0 to 1, or above 1 while a single request that
   * exceeds the memory runs alone.
   */
  get keyValueUsedShare(): number {
    return this.keyValueTokens / this.settings.keyValueTokens;
  }

  /** Enqueues a request. */
  submit(request: EngineRequest): void {
    this.counters.recordArrival(request);
    this.waiting.push(request);
    this.startIfIdle();
  }

  /**
   * Cancels a request and aborts its response. Returns false when the request is not queued or
   * running.
   */
  cancel(requestId: string): boolean {
    const request = [...this.running, ...this.waiting].find(
      (candidate) => candidate.requestId === requestId,
    );
    if (request === undefined) {
      return false;
    }
    this.remove(request);
    this.counters.recordEnd(request, 'cancelled');
    request.responseBody.finish(false);
    return true;
  }

  /** Pauses or resumes the engine. */
  setStalled(isStalled: boolean): void {
    this.isStalled = isStalled;
    this.startIfIdle();
  }

  /** Stops the engine for good. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private get keyValueTokens(): number {
    return this.running.reduce((sum, request) => sum + countKeyValueTokens(request), 0);
  }

  private startIfIdle(): void {
    if (this.timer === undefined) {
      this.stepDueAtMs = performance.now();
      this.startStep();
    }
  }

  private startStep(): void {
    this.timer = undefined;
    if (this.isStalled || this.isClosed) {
      return;
    }
    this.admitWaiting();
    if (this.running.length === 0) {
      return;
    }
    const plan = this.planStep();
    const nowMs = performance.now();
    const startAtMs = Math.max(this.stepDueAtMs, nowMs - MAX_CATCH_UP_MS);
    this.stepDueAtMs = startAtMs + plan.durationMs / this.settings.timeScale;
    this.timer = setTimeout(
      () => {
        this.finishStep(plan);
        this.startStep();
      },
      Math.max(0, this.stepDueAtMs - nowMs),
    );
  }

  private admitWaiting(): void {
    for (;;) {
      const next = this.waiting[0];
      if (next === undefined || this.running.length >= this.settings.maximumRunning) {
        return;
      }
      const neededTokens = this.keyValueTokens + countKeyValueTokens(next);
      if (this.running.length > 0 && neededTokens > this.settings.keyValueTokens) {
        return;
      }
      this.waiting.shift();
      const cachedTokens = this.cache.countCachedTokens(next.fingerprints);
      next.cachedTokens = Math.min(next.promptTokens - 1, cachedTokens);
      next.prefillTokensLeft = next.promptTokens - next.cachedTokens;
      this.counters.recordCachedTokens(next);
      this.running.push(next);
    }
  }

  private planStep(): StepPlan {
    const { stepBaseMs, stepPerRunningMs, stepPerPrefillTokenMs, prefillChunkTokens } =
      this.settings;
    let tokenBudget = prefillChunkTokens;
    const prefills = this.running
      .filter((request) => !isPrefilled(request))
      .map((request) => {
        const tokens = Math.min(tokenBudget, request.prefillTokensLeft);
        tokenBudget -= tokens;
        return { request, tokens };
      });
    const prefillTokens = prefillChunkTokens - tokenBudget;
    const durationMs =
      (stepBaseMs +
        stepPerRunningMs * this.running.length +
        stepPerPrefillTokenMs * prefillTokens) /
      this.speedFactor;
    return { prefills, decodes: this.running.filter(isPrefilled), durationMs };
  }

  private finishStep({ prefills, decodes, durationMs }: StepPlan): void {
    this.counters.recordStep(durationMs, performance.now() - this.stepDueAtMs);
    for (const request of decodes) {
      this.generateToken(request);
    }
    for (const { request, tokens } of prefills) {
      this.applyPrefill(request, tokens);
    }
  }

  private applyPrefill(request: EngineRequest, tokens: number): void {
    if (tokens === 0 || !this.running.includes(request)) {
      return;
    }
    request.prefillTokensLeft -= tokens;
    this.counters.recordPrefill(request, tokens);
    if (isPrefilled(request)) {
      this.cache.store(request.fingerprints);
      this.generateToken(request);
    }
  }

  private generateToken(request: EngineRequest): void {
    if (!this.running.includes(request)) {
      return;
    }
    request.responseBody.append(request.formatToken(request.tokensDone));
    request.tokensDone += 1;
    this.counters.recordToken();
    if (request.tokensDone >= request.answerTokens) {
      request.responseBody.append(request.formatEnd(request.cachedTokens));
      request.responseBody.finish(true);
      this.counters.recordEnd(request, 'ended');
      this.remove(request);
    }
  }

  private remove(request: EngineRequest): void {
    this.running = this.running.filter((candidate) => candidate !== request);
    this.waiting = this.waiting.filter((candidate) => candidate !== request);
  }
}
