import { EngineCounters } from './engineCounters.js';
import type { EngineRequest } from './engineRequest.js';
import type { EngineSettings } from './engineSettings.js';
import type { PrefixCache } from './prefixCache.js';

interface StepPlan {
  readonly prefills: readonly { readonly request: EngineRequest; readonly tokens: number }[];
  readonly decodes: readonly EngineRequest[];
  readonly durationMs: number;
}

const MAXIMUM_CATCH_UP_MS = 50;

const isPrefilled = (request: EngineRequest): boolean => request.prefillTokensLeft === 0;

const countKeyValueTokens = (request: EngineRequest): number =>
  request.promptTokens + request.answerTokens;

/** Continuous batching in steps: requests join as they arrive, prefill in chunks, one token each a step. */
export class EngineBatch {
  readonly counters: EngineCounters;
  speedFactor: number;
  private waiting: EngineRequest[] = [];
  private running: EngineRequest[] = [];
  private timer: NodeJS.Timeout | undefined;
  private dueMs = 0;
  private isStalled = false;
  private isClosed = false;

  constructor(
    private readonly settings: EngineSettings,
    private readonly cache: PrefixCache,
  ) {
    this.speedFactor = settings.speedFactor;
    this.counters = new EngineCounters(settings.timeScale);
  }

  /** Requests in the batch. */
  get runningRequests(): number {
    return this.running.length;
  }

  /** Requests that wait for memory or a place in the batch. */
  get waitingRequests(): number {
    return this.waiting.length;
  }

  /** Share of the KV memory in use, from 0 to 1. */
  get keyValueUsedShare(): number {
    return this.keyValueTokens / this.settings.keyValueTokens;
  }

  /** Takes a request in. */
  submit(request: EngineRequest): void {
    this.counters.countRun(request);
    this.waiting.push(request);
    this.resume();
  }

  /** Stops a request's work; its answer is cut. False when it is not here. */
  cancel(requestId: string): boolean {
    const request = [...this.running, ...this.waiting].find(
      (candidate) => candidate.requestId === requestId,
    );
    if (request === undefined) {
      return false;
    }
    this.remove(request);
    this.counters.countEnd(request, 'cancelled');
    request.answer.finish(false);
    return true;
  }

  /** Stops or resumes the steps. */
  setStalled(isStalled: boolean): void {
    this.isStalled = isStalled;
    this.resume();
  }

  /** Ends the steps for good. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private get keyValueTokens(): number {
    return this.running.reduce((sum, request) => sum + countKeyValueTokens(request), 0);
  }

  private resume(): void {
    if (this.timer === undefined) {
      this.dueMs = performance.now();
      this.startStep();
    }
  }

  private startStep(): void {
    this.timer = undefined;
    if (this.isStalled || this.isClosed) {
      return;
    }
    this.admit();
    if (this.running.length === 0) {
      return;
    }
    const plan = this.planStep();
    const nowMs = performance.now();
    const startMs = Math.max(this.dueMs, nowMs - MAXIMUM_CATCH_UP_MS);
    this.dueMs = startMs + plan.durationMs / this.settings.timeScale;
    this.timer = setTimeout(
      () => {
        this.finishStep(plan);
        this.startStep();
      },
      Math.max(0, this.dueMs - nowMs),
    );
  }

  private admit(): void {
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
      this.counters.countCached(next);
      this.running.push(next);
    }
  }

  private planStep(): StepPlan {
    const { stepBaseMs, stepPerRunningMs, stepPerPrefillTokenMs, prefillChunkTokens } =
      this.settings;
    let budget = prefillChunkTokens;
    const prefills = this.running
      .filter((request) => !isPrefilled(request))
      .map((request) => {
        const tokens = Math.min(budget, request.prefillTokensLeft);
        budget -= tokens;
        return { request, tokens };
      });
    const prefillTokens = prefillChunkTokens - budget;
    const durationMs =
      (stepBaseMs +
        stepPerRunningMs * this.running.length +
        stepPerPrefillTokenMs * prefillTokens) /
      this.speedFactor;
    return { prefills, decodes: this.running.filter(isPrefilled), durationMs };
  }

  private finishStep({ prefills, decodes, durationMs }: StepPlan): void {
    this.counters.countStep(durationMs, performance.now() - this.dueMs);
    for (const request of decodes) {
      this.addToken(request);
    }
    for (const { request, tokens } of prefills) {
      this.addPrefill(request, tokens);
    }
  }

  private addPrefill(request: EngineRequest, tokens: number): void {
    if (tokens === 0 || !this.running.includes(request)) {
      return;
    }
    request.prefillTokensLeft -= tokens;
    this.counters.countPrefill(request, tokens);
    if (isPrefilled(request)) {
      this.cache.store(request.fingerprints);
      this.addToken(request);
    }
  }

  private addToken(request: EngineRequest): void {
    if (!this.running.includes(request)) {
      return;
    }
    request.answer.append(request.formatToken(request.tokensDone));
    request.tokensDone += 1;
    this.counters.countToken();
    if (request.tokensDone >= request.answerTokens) {
      request.answer.append(request.formatEnd(request.cachedTokens));
      request.answer.finish(true);
      this.counters.countEnd(request, 'ended');
      this.remove(request);
    }
  }

  private remove(request: EngineRequest): void {
    this.running = this.running.filter((candidate) => candidate !== request);
    this.waiting = this.waiting.filter((candidate) => candidate !== request);
  }
}
