import { newRoutingState, reduceRouting } from '../../src/index.js';
import type {
  ResponseHead,
  Arrival,
  Refusal,
  RoutingEffect,
  RoutingEvent,
  RoutingSettings,
  RoutingState,
} from '../../src/index.js';
import { GOOD_HEAD } from './goodHead.js';
import { newConfiguration } from './newConfiguration.js';
import { newTargets } from './newTargets.js';

const START_MS = 100_000;

type Send = Extract<RoutingEffect, { type: 'send' }>;

/** The scheduler of one entry, with clocks that the test advances. */
export class RoutingHarness {
  state: RoutingState;
  effects: RoutingEffect[] = [];
  nowMs: number;
  /** Offset of the wall clock from the monotonic clock. */
  wallOffsetMs = 0;
  private nextRequestId = 1;

  constructor(settings: Partial<RoutingSettings> = {}, startMs = START_MS) {
    this.nowMs = startMs;
    const completeSettings: RoutingSettings = {
      host: 'self',
      incarnation: 1,
      dataCentre: 'here',
      retries: { ratio: 0.2, windowMs: 10_000, slack: 50 },
      quotas: { windowMs: 8_000, overshoot: 0, slack: 0 },
      trustedPromptParts: [],
      longestUnconfirmedMs: 4_850,
      ...settings,
    };
    this.state = newRoutingState(completeSettings, startMs);
  }

  /** An entry with configuration and targets that has been running for longer than a quota window. */
  static createReady(
    configuration = newConfiguration(),
    targets = newTargets(2),
    settings: Partial<RoutingSettings> = {},
  ): RoutingHarness {
    const harness = new RoutingHarness(settings);
    harness.nowMs += 20_000;
    harness.dispatch({ type: 'configurationRead', configuration });
    harness.confirmConfiguration();
    harness.dispatch({ type: 'targetsListed', targets });
    return harness;
  }

  dispatch(event: RoutingEvent): readonly RoutingEffect[] {
    const now = { monotonicMs: this.nowMs, wallMs: this.nowMs + this.wallOffsetMs };
    const reduction = reduceRouting(this.state, { now, event });
    this.state = reduction.state;
    this.effects.push(...reduction.effects);
    return reduction.effects;
  }

  confirmConfiguration(version = this.state.index?.configuration.version ?? 0): void {
    const confirmedAt = { monotonicMs: this.nowMs, wallMs: this.nowMs + this.wallOffsetMs };
    this.dispatch({ type: 'configurationConfirmed', confirmedAt, version });
  }

  /** Advances the clocks in ticks of the real period and keeps the configuration confirmed. */
  advance(ms: number): void {
    for (let leftMs = ms; leftMs > 0; leftMs -= 50) {
      this.nowMs += Math.min(50, leftMs);
      this.confirmConfiguration();
      this.dispatch({ type: 'ticked' });
    }
  }

  arrive(changes: Partial<Arrival> = {}): number {
    return this.arriveWithoutKey({ key: 'red-key', ...changes });
  }

  arriveWithoutKey(changes: Partial<Arrival> = {}): number {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    this.dispatch({
      type: 'requestArrived',
      arrival: {
        requestId,
        host: 'a.example',
        path: '/a/b',
        random: 0,
        elapsedMs: 0,
        ...changes,
      },
    });
    return requestId;
  }

  getSends(requestId: number): readonly Send[] {
    return this.effects.filter(
      (effect): effect is Send => effect.type === 'send' && effect.requestId === requestId,
    );
  }

  getLastSend(requestId: number): Send {
    const send = this.getSends(requestId).at(-1);
    if (send === undefined) {
      throw new Error(`request ${requestId} was not sent`);
    }
    return send;
  }

  receiveHead(requestId: number, head: ResponseHead = GOOD_HEAD): void {
    const { sendId } = this.getLastSend(requestId);
    this.dispatch({ type: 'responseHeadReceived', requestId, sendId, head });
  }

  endResponse(requestId: number, events = 0): void {
    const { sendId } = this.getLastSend(requestId);
    this.dispatch({ type: 'responseEnded', requestId, sendId, events });
  }

  failSend(requestId: number, failure: 'neverSent' | 'broken' = 'broken'): void {
    const { sendId } = this.getLastSend(requestId);
    this.dispatch({ type: 'sendFailed', requestId, sendId, failure });
  }

  getRefusal(requestId: number): Refusal | undefined {
    return this.effects.flatMap((effect) =>
      effect.type === 'answer' && effect.requestId === requestId ? [effect.refusal] : [],
    )[0];
  }

  isConnectionClosed(requestId: number): boolean {
    return this.effects.some(
      (effect) => effect.type === 'breakOff' && effect.requestId === requestId,
    );
  }
}
