import { toOptionalField } from '@parsleyhall/common';
import type { ListedTarget, PeerDigest, RoutingEffect, RoutingSettings } from '../../src/index.js';
import { GOOD_HEAD } from './goodHead.js';
import { newConfiguration } from './newConfiguration.js';
import { newRoute } from './newRoute.js';
import { RoutingHarness } from './routingHarness.js';

const TICK_MS = 50;
const FIRST_EVENT_AFTER_MS = 150;
const EVENT_INTERVAL_MS = 150;
const EVENTS_PER_RESPONSE = 6;
const RESTART_AFTER_MS = 3_000;

type Send = Extract<RoutingEffect, { type: 'send' }>;

interface Run {
  readonly entry: RoutingHarness;
  readonly entryIndex: number;
  readonly send: Send;
  readonly parts: readonly string[];
  readonly startedAtMs: number;
  nextEventAtMs: number;
  events: number;
}

interface WorldTarget {
  listed: ListedTarget;
  /** Undefined while it is up. */
  upAgainAtMs: number | undefined;
  runs: Run[];
  starts: number;
  /** Requests per second that it states to take from all entries; undefined while it states none. */
  limitPerSecond: number | undefined;
}

/** What reached a target. */
interface TargetArrival {
  readonly atMs: number;
  readonly target: number;
  readonly entry: number;
  readonly parts: readonly string[];
  readonly isFirstSend: boolean;
}

/** Several entries that exchange digests, in front of targets that some parts of prompts crash. */
export class RoutingWorld {
  readonly entries: RoutingHarness[];
  readonly arrivals: TargetArrival[] = [];
  readonly crashesAtMs: number[] = [];
  readonly begun: { readonly atMs: number; readonly parts: readonly string[] }[] = [];
  readonly poisonParts = new Set<string>();
  private readonly stoppedEntries = new Set<number>();
  nowMs = 120_000;
  private readonly targets: WorldTarget[];
  private readonly handledEffects: number[];
  private readonly partsByRequest: Map<number, readonly string[]>[];
  private arrivedCount = 0;

  constructor({
    entryCount,
    targetCount,
    slots = 10,
    settings = {},
  }: {
    readonly entryCount: number;
    readonly targetCount: number;
    readonly slots?: number;
    readonly settings?: Partial<RoutingSettings>;
  }) {
    this.targets = Array.from({ length: targetCount }, (_, index) => ({
      listed: {
        id: `target-${index}.0`,
        service: 'one',
        address: `10.0.0.${index}:80`,
        dataCentre: 'here',
        slots,
        isLeaving: false,
      },
      upAgainAtMs: undefined,
      runs: [],
      starts: 0,
      limitPerSecond: undefined,
    }));
    this.entries = Array.from({ length: entryCount }, (_, index) =>
      this.createEntry(index, settings),
    );
    this.handledEffects = this.entries.map(() => 0);
    this.partsByRequest = this.entries.map(() => new Map<number, readonly string[]>());
    this.run(1_000);
  }

  /** Replaces an entry by one that starts now and knows nothing. */
  restartEntry(index: number): RoutingHarness {
    this.targets.forEach((target) => {
      target.runs = target.runs.filter((run) => run.entryIndex !== index);
    });
    const entry = this.createEntry(index);
    this.entries[index] = entry;
    this.handledEffects[index] = 0;
    this.partsByRequest[index] = new Map();
    return entry;
  }

  /** Lets an entry announce its stop and then be silent; its callers go to the others. */
  stopEntry(index: number): void {
    this.entries[index]?.dispatch({ type: 'drainStarted' });
    this.run(TICK_MS);
    this.stoppedEntries.add(index);
  }

  setLimit(targetIndex: number, limitPerSecond: number | undefined): void {
    const target = this.targets[targetIndex];
    if (target !== undefined) {
      target.limitPerSecond = limitPerSecond;
    }
  }

  arrive(entryIndex: number, parts: readonly string[] = []): number {
    const entry = this.entries[entryIndex];
    if (entry === undefined) {
      throw new Error(`no entry ${entryIndex}`);
    }
    entry.nowMs = this.nowMs;
    const requestId = entry.arrive({
      promptTokens: 100,
      maxOutputTokens: 50,
      sharedPromptParts: parts,
    });
    this.partsByRequest[entryIndex]?.set(requestId, parts);
    this.handleEffects(entryIndex);
    return requestId;
  }

  /** Sends requests evenly over the entries for some time; `choose` returns the shared parts of the n-th prompt. */
  runWithLoad(
    forMs: number,
    perSecond: number,
    choose: (count: number) => readonly string[] = () => [],
  ): void {
    for (let passedMs = 0; passedMs < forMs; passedMs += TICK_MS) {
      const due = Math.floor(((passedMs + TICK_MS) * perSecond) / 1_000);
      const before = Math.floor((passedMs * perSecond) / 1_000);
      for (let count = before; count < due; count += 1) {
        const open = [...this.entries.keys()].filter((index) => !this.stoppedEntries.has(index));
        this.arrive(open[this.arrivedCount % open.length] ?? 0, choose(this.arrivedCount));
        this.arrivedCount += 1;
      }
      this.run(TICK_MS);
    }
  }

  /** Advances all clocks. */
  run(ms: number): void {
    for (let leftMs = ms; leftMs > 0; leftMs -= TICK_MS) {
      this.nowMs += TICK_MS;
      this.advanceTargets();
      this.entries.forEach((entry, index) => {
        if (this.stoppedEntries.has(index)) {
          return;
        }
        entry.nowMs = this.nowMs;
        entry.confirmConfiguration();
        entry.dispatch({ type: 'ticked' });
        this.handleEffects(index);
      });
    }
  }

  countArrivals(
    predicate: (arrival: TargetArrival) => boolean,
    fromMs: number,
    untilMs = Infinity,
  ): number {
    return this.arrivals.filter(
      (arrival) => arrival.atMs >= fromMs && arrival.atMs < untilMs && predicate(arrival),
    ).length;
  }

  private createEntry(index: number, settings: Partial<RoutingSettings> = {}): RoutingHarness {
    const entry = new RoutingHarness(
      { host: `entry-${String(index).padStart(3, '0')}`, incarnation: this.nowMs, ...settings },
      this.nowMs,
    );
    const route = newRoute({ kind: 'resumableStream', maxAttempts: 2 });
    entry.dispatch({
      type: 'configurationRead',
      configuration: newConfiguration({ routes: [route] }),
    });
    entry.confirmConfiguration();
    this.listTargets(entry);
    return entry;
  }

  private listTargets(entry: RoutingHarness): void {
    const listed = this.targets.filter(({ upAgainAtMs }) => upAgainAtMs === undefined);
    entry.dispatch({ type: 'targetsListed', targets: listed.map((target) => target.listed) });
  }

  private handleEffects(index: number): void {
    const entry = this.entries[index];
    if (entry === undefined) {
      return;
    }
    for (
      let next = this.handledEffects[index] ?? 0;
      next < entry.effects.length;
      next = this.handledEffects[index] ?? 0
    ) {
      this.handledEffects[index] = next + 1;
      const effect = entry.effects[next];
      if (effect?.type === 'send') {
        this.startRun(entry, index, effect);
      } else if (effect?.type === 'cancelSend') {
        this.targets.forEach((target) => {
          target.runs = target.runs.filter(
            (run) => run.entry !== entry || run.send.sendId !== effect.sendId,
          );
        });
      } else if (effect?.type === 'sendDigest') {
        this.deliver(index, effect.digest);
      }
    }
  }

  private deliver(from: number, digest: PeerDigest): void {
    this.entries.forEach((entry, index) => {
      entry.nowMs = this.nowMs;
      if (index !== from && !this.stoppedEntries.has(index)) {
        entry.dispatch({ type: 'digestReceived', digest });
      }
    });
  }

  private startRun(entry: RoutingHarness, entryIndex: number, send: Send): void {
    const targetIndex = this.targets.findIndex(({ listed }) => listed.id === send.targetId);
    const target = this.targets[targetIndex];
    const { requestId, sendId } = send;
    if (target === undefined || target.upAgainAtMs !== undefined) {
      entry.dispatch({ type: 'sendFailed', requestId, sendId, failure: 'neverSent' });
      return;
    }
    const parts = this.partsByRequest[entryIndex]?.get(requestId) ?? [];
    this.arrivals.push({
      atMs: this.nowMs,
      target: targetIndex,
      entry: entryIndex,
      parts,
      isFirstSend: entry.getSends(requestId).length === 1,
    });
    target.runs.push({
      entry,
      entryIndex,
      send,
      parts,
      startedAtMs: this.nowMs,
      nextEventAtMs: this.nowMs + FIRST_EVENT_AFTER_MS,
      events: 0,
    });
    const head = { ...GOOD_HEAD, ...toOptionalField('limitPerSecond', target.limitPerSecond) };
    entry.dispatch({ type: 'responseHeadReceived', requestId, sendId, head });
  }

  private advanceTargets(): void {
    this.targets.forEach((target, index) => {
      if (target.upAgainAtMs !== undefined && target.upAgainAtMs <= this.nowMs) {
        target.upAgainAtMs = undefined;
        target.starts += 1;
        target.listed = { ...target.listed, id: `target-${index}.${target.starts}` };
        this.entries.forEach((entry) => {
          this.listTargets(entry);
        });
      }
      this.advanceRuns(target);
    });
  }

  private advanceRuns(target: WorldTarget): void {
    for (const run of target.runs.filter(({ nextEventAtMs }) => nextEventAtMs <= this.nowMs)) {
      const { requestId, sendId } = run.send;
      run.entry.nowMs = this.nowMs;
      if (run.parts.some((part) => this.poisonParts.has(part))) {
        this.crash(target);
        return;
      }
      run.events += 1;
      run.nextEventAtMs += EVENT_INTERVAL_MS;
      if (run.events === 1) {
        this.begun.push({ atMs: this.nowMs, parts: run.parts });
      }
      run.entry.dispatch({ type: 'responseProgressed', requestId, sendId });
      if (run.events === EVENTS_PER_RESPONSE) {
        target.runs = target.runs.filter((other) => other !== run);
        run.entry.dispatch({ type: 'responseEnded', requestId, sendId, events: run.events });
      }
    }
  }

  /** Ends a target with everything that it runs. */
  crash(target: WorldTarget | number): void {
    const crashed = typeof target === 'number' ? this.targets[target] : target;
    if (crashed === undefined) {
      return;
    }
    const { runs } = crashed;
    crashed.runs = [];
    crashed.upAgainAtMs = this.nowMs + RESTART_AFTER_MS;
    this.crashesAtMs.push(this.nowMs);
    runs.forEach(({ entry, send: { requestId, sendId } }) => {
      entry.nowMs = this.nowMs;
      entry.dispatch({ type: 'sendFailed', requestId, sendId, failure: 'broken' });
    });
  }
}
