import { newRoutingState, reduceRouting } from '../../src/index.js';
import type {
  AnswerHead,
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

/** One entry's scheduler with a clock that the test moves. */
export class RoutingHarness {
  state: RoutingState;
  effects: RoutingEffect[] = [];
  nowMs: number;
  /** How far the time of day has been set off the steady clock. */
  wallOffsetMs = 0;
  private nextRequestId = 1;

  constructor(settings: Partial<RoutingSettings> = {}, startMs = START_MS) {
    this.nowMs = startMs;
    const whole: RoutingSettings = {
      host: 'self',
      incarnation: 1,
      dataCentre: 'here',
      retries: { ratio: 0.2, windowMs: 10_000, slack: 50 },
      quotas: { windowMs: 8_000, overshoot: 0, slack: 0 },
      longestUnconfirmedMs: 4_850,
      ...settings,
    };
    this.state = newRoutingState(whole, startMs);
  }

  /** An entry that has been up for a whole window, with its configuration and targets. */
  static ready(
    configuration = newConfiguration(),
    targets = newTargets(2),
    settings: Partial<RoutingSettings> = {},
  ): RoutingHarness {
    const harness = new RoutingHarness(settings);
    harness.nowMs += 20_000;
    harness.run({ type: 'configurationRead', configuration });
    harness.confirm();
    harness.run({ type: 'targetsListed', targets });
    return harness;
  }

  run(event: RoutingEvent): readonly RoutingEffect[] {
    const now = { steadyMs: this.nowMs, wallMs: this.nowMs + this.wallOffsetMs };
    const reduction = reduceRouting(this.state, { now, event });
    this.state = reduction.state;
    this.effects.push(...reduction.effects);
    return reduction.effects;
  }

  confirm(): void {
    const confirmed = { steadyMs: this.nowMs, wallMs: this.nowMs + this.wallOffsetMs };
    this.run({ type: 'configurationConfirmed', confirmed });
  }

  /** Lets time pass in ticks of the real period. */
  pass(ms: number): void {
    for (let left = ms; left > 0; left -= 50) {
      this.nowMs += Math.min(50, left);
      this.confirm();
      this.run({ type: 'ticked' });
    }
  }

  arrive(changes: Partial<Arrival> = {}): number {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    this.run({
      type: 'arrived',
      arrival: {
        requestId,
        host: 'a.example',
        path: '/a/b',
        key: 'red-key',
        random: 0,
        elapsedMs: 0,
        ...changes,
      },
    });
    return requestId;
  }

  sendsOf(requestId: number): readonly Send[] {
    return this.effects.filter(
      (effect): effect is Send => effect.type === 'send' && effect.requestId === requestId,
    );
  }

  lastSendOf(requestId: number): Send {
    const send = this.sendsOf(requestId).at(-1);
    if (send === undefined) {
      throw new Error(`request ${requestId} was not sent`);
    }
    return send;
  }

  begin(requestId: number, head: AnswerHead = GOOD_HEAD): void {
    const { sendId } = this.lastSendOf(requestId);
    this.run({ type: 'answerBegan', requestId, sendId, head });
  }

  end(requestId: number, events = 0): void {
    const { sendId } = this.lastSendOf(requestId);
    this.run({ type: 'answerEnded', requestId, sendId, events });
  }

  fail(requestId: number, failure: 'neverSent' | 'broken' = 'broken'): void {
    const { sendId } = this.lastSendOf(requestId);
    this.run({ type: 'sendFailed', requestId, sendId, failure });
  }

  refusalOf(requestId: number): Refusal | undefined {
    return this.effects.flatMap((effect) =>
      effect.type === 'answer' && effect.requestId === requestId ? [effect.refusal] : [],
    )[0];
  }

  isBrokenOff(requestId: number): boolean {
    return this.effects.some(
      (effect) => effect.type === 'breakOff' && effect.requestId === requestId,
    );
  }
}
