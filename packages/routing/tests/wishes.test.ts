import { describe, expect, it } from 'vitest';
import { GOOD_HEAD } from './support/goodHead.js';
import { newConfiguration } from './support/newConfiguration.js';
import { newTargets } from './support/newTargets.js';
import { NOT_RUN_HEAD } from './support/notRunHead.js';
import { RoutingHarness } from './support/routingHarness.js';

const LEAVING_HEAD = { ...GOOD_HEAD, isLeaving: true };

const newRestingHead = (restMs: number) => ({ ...NOT_RUN_HEAD, restMs });

const startWith = (targets: ReturnType<typeof newTargets>): RoutingHarness =>
  RoutingHarness.ready(newConfiguration(), targets);

// Guards against DRAIN: new work for a target that says in its answers that it leaves, though the list has it as ready.
describe('a target that says in an answer that it leaves', () => {
  const startWithOneLeaving = (): { readonly entry: RoutingHarness; readonly leaving: string } => {
    const entry = startWith(newTargets(2, { slots: 10, startedAtMs: 1 }));
    const requestId = entry.arrive();
    entry.begin(requestId, LEAVING_HEAD);
    const leaving = entry.lastSendOf(requestId).targetId;
    return { entry, leaving };
  };

  const getTargets = (entry: RoutingHarness): ReadonlySet<string> =>
    new Set(Array.from({ length: 6 }, () => entry.lastSendOf(entry.arrive()).targetId));

  it('gets nothing new, and its answer is handed on', () => {
    const { entry, leaving } = startWithOneLeaving();
    expect(entry.effects.some(({ type }) => type === 'cancelSend')).toBe(false);
    expect(getTargets(entry)).not.toContain(leaving);
  });

  it('gets nothing new after it was listed as ready again, also where it was missing between', () => {
    const { entry, leaving } = startWithOneLeaving();
    const targets = newTargets(2, { slots: 10, startedAtMs: 1 });
    entry.run({ type: 'targetsListed', targets: targets.filter(({ id }) => id !== leaving) });
    entry.run({ type: 'targetsListed', targets });
    expect(getTargets(entry)).not.toContain(leaving);
  });

  it('gets work again once it has started anew under the same id', () => {
    const { entry, leaving } = startWithOneLeaving();
    const targets = newTargets(2, { slots: 10, startedAtMs: 2 });
    entry.run({ type: 'targetsListed', targets });
    expect(getTargets(entry)).toContain(leaving);
  });

  it('is named in a line, once', () => {
    const { entry, leaving } = startWithOneLeaving();
    entry.begin(1, LEAVING_HEAD);
    const lines = entry.effects.filter(
      (effect) => effect.type === 'observe' && effect.name === 'targetLeaves',
    );
    expect(lines).toEqual([
      { type: 'observe', name: 'targetLeaves', fields: { target: leaving, service: 'one' } },
    ]);
  });

  it('says nothing of itself in an answer that belongs to another request', () => {
    const entry = startWith(newTargets(1, { slots: 10 }));
    entry.begin(entry.arrive(), { ...LEAVING_HEAD, isForeign: true });
    expect(entry.sendsOf(entry.arrive())).toHaveLength(1);
  });
});

// Guards against BUDGET: sends to a target that has said for how long it wants nothing.
describe('a target that turns a request away and says for how long', () => {
  it('gets nothing of this entry before that, and work again after', () => {
    const entry = startWith(newTargets(2, { slots: 10 }));
    const requestId = entry.arrive();
    const { targetId } = entry.lastSendOf(requestId);
    entry.begin(requestId, newRestingHead(4_000));
    const getTargets = (): ReadonlySet<string> =>
      // More than the other target has room for.
      new Set(
        Array.from({ length: 12 }, () => entry.sendsOf(entry.arrive())[0]?.targetId ?? 'none'),
      );
    entry.pass(3_950);
    expect(getTargets()).not.toContain(targetId);
    entry.pass(100);
    expect(getTargets()).toContain(targetId);
  });

  it('keeps the longer of two such spans', () => {
    const entry = startWith(newTargets(1, { slots: 10 }));
    const first = entry.arrive();
    const second = entry.arrive();
    entry.begin(first, newRestingHead(2_000));
    entry.begin(second, newRestingHead(500));
    entry.pass(1_000);
    const later = entry.arrive();
    expect(entry.sendsOf(later)).toHaveLength(0);
    entry.pass(1_000);
    expect(entry.sendsOf(later)).toHaveLength(1);
  });

  it('is waited for by callers that still wait then, where it is the only one', () => {
    const entry = startWith(newTargets(1, { slots: 10 }));
    entry.begin(entry.arrive(), newRestingHead(1_000));
    const requestId = entry.arrive();
    expect(entry.refusalOf(requestId)).toBeUndefined();
    entry.pass(1_000);
    expect(entry.sendsOf(requestId)).toHaveLength(1);
  });

  it('is named as what to come back for to callers that would not', () => {
    const entry = startWith(newTargets(1, { slots: 10 }));
    entry.begin(entry.arrive(), newRestingHead(60_000));
    const requestId = entry.arrive();
    expect(entry.refusalOf(requestId)).toEqual({
      status: 503,
      reason: 'refusedByTargets',
      retryAfterMs: 60_000,
    });
  });

  it('gets work again once it has started anew under the same id', () => {
    const entry = startWith(newTargets(1, { slots: 10, startedAtMs: 1 }));
    entry.begin(entry.arrive(), newRestingHead(60_000));
    entry.run({ type: 'targetsListed', targets: newTargets(1, { slots: 10, startedAtMs: 2 }) });
    expect(entry.sendsOf(entry.arrive())).toHaveLength(1);
  });
});
