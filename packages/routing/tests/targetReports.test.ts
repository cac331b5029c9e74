import { describe, expect, it } from 'vitest';
import { GOOD_HEAD } from './support/goodHead.js';
import { newConfiguration } from './support/newConfiguration.js';
import { newTargets } from './support/newTargets.js';
import { NOT_RUN_HEAD } from './support/notRunHead.js';
import { RoutingHarness } from './support/routingHarness.js';

const LEAVING_HEAD = { ...GOOD_HEAD, isLeaving: true };

const newRefusingHead = (refusesForMs: number) => ({ ...NOT_RUN_HEAD, refusesForMs });

const createReadyWith = (targets: ReturnType<typeof newTargets>): RoutingHarness =>
  RoutingHarness.createReady(newConfiguration(), targets);

// Guards against sending new work to a target that reports in its responses that it is draining while the list has it
// as
// ready.
describe('a target that reports in a response that it is draining', () => {
  const startWithOneLeaving = (): { readonly entry: RoutingHarness; readonly leaving: string } => {
    const entry = createReadyWith(newTargets(2, { slots: 10, startedAtMs: 1 }));
    const requestId = entry.arrive();
    entry.receiveHead(requestId, LEAVING_HEAD);
    const leaving = entry.getLastSend(requestId).targetId;
    return { entry, leaving };
  };

  const getTargets = (entry: RoutingHarness): ReadonlySet<string> =>
    new Set(Array.from({ length: 6 }, () => entry.getLastSend(entry.arrive()).targetId));

  it('gets no new work, and its response is forwarded', () => {
    const { entry, leaving } = startWithOneLeaving();
    expect(entry.effects.some(({ type }) => type === 'cancelSend')).toBe(false);
    expect(getTargets(entry)).not.toContain(leaving);
  });

  it('gets no new work after it is listed as ready again, even if it was missing in between', () => {
    const { entry, leaving } = startWithOneLeaving();
    const targets = newTargets(2, { slots: 10, startedAtMs: 1 });
    entry.dispatch({ type: 'targetsListed', targets: targets.filter(({ id }) => id !== leaving) });
    entry.dispatch({ type: 'targetsListed', targets });
    expect(getTargets(entry)).not.toContain(leaving);
  });

  it('gets work again once it has restarted under the same id', () => {
    const { entry, leaving } = startWithOneLeaving();
    const targets = newTargets(2, { slots: 10, startedAtMs: 2 });
    entry.dispatch({ type: 'targetsListed', targets });
    expect(getTargets(entry)).toContain(leaving);
  });

  it('is logged once', () => {
    const { entry, leaving } = startWithOneLeaving();
    entry.receiveHead(1, LEAVING_HEAD);
    const observations = entry.effects.filter(
      (effect) => effect.type === 'observe' && effect.name === 'targetLeaves',
    );
    expect(observations).toEqual([
      { type: 'observe', name: 'targetLeaves', fields: { target: leaving, service: 'one' } },
    ]);
  });

  it('is not considered draining by a response that belongs to another request', () => {
    const entry = createReadyWith(newTargets(1, { slots: 10 }));
    entry.receiveHead(entry.arrive(), { ...LEAVING_HEAD, requestMatch: 'another' });
    expect(entry.getSends(entry.arrive())).toHaveLength(1);
  });
});

// Guards against sending to a target that has reported for how long it refuses requests.
describe('a target that refuses a request and reports for how long', () => {
  it('gets no requests of this entry until then, and work again afterwards', () => {
    const entry = createReadyWith(newTargets(2, { slots: 10 }));
    const requestId = entry.arrive();
    const { targetId } = entry.getLastSend(requestId);
    entry.receiveHead(requestId, newRefusingHead(4_000));
    const getTargets = (): ReadonlySet<string> =>
      // More than the other target has slots for.
      new Set(
        Array.from({ length: 12 }, () => entry.getSends(entry.arrive())[0]?.targetId ?? 'none'),
      );
    entry.advance(3_950);
    expect(getTargets()).not.toContain(targetId);
    entry.advance(100);
    expect(getTargets()).toContain(targetId);
  });

  it('is avoided for the longer of two such periods', () => {
    const entry = createReadyWith(newTargets(1, { slots: 10 }));
    const first = entry.arrive();
    const second = entry.arrive();
    entry.receiveHead(first, newRefusingHead(2_000));
    entry.receiveHead(second, newRefusingHead(500));
    entry.advance(1_000);
    const later = entry.arrive();
    expect(entry.getSends(later)).toHaveLength(0);
    entry.advance(1_000);
    expect(entry.getSends(later)).toHaveLength(1);
  });

  it('is waited for by callers that will still be waiting, if it is the only one', () => {
    const entry = createReadyWith(newTargets(1, { slots: 10 }));
    entry.receiveHead(entry.arrive(), newRefusingHead(1_000));
    const requestId = entry.arrive();
    expect(entry.getRefusal(requestId)).toBeUndefined();
    entry.advance(1_000);
    expect(entry.getSends(requestId)).toHaveLength(1);
  });

  it('determines the retry-after of callers that would not wait so long', () => {
    const entry = createReadyWith(newTargets(1, { slots: 10 }));
    entry.receiveHead(entry.arrive(), newRefusingHead(60_000));
    const requestId = entry.arrive();
    expect(entry.getRefusal(requestId)).toEqual({
      status: 503,
      reason: 'refusedByTargets',
      retryAfterMs: 60_000,
    });
  });

  it('gets work again once it has restarted under the same id', () => {
    const entry = createReadyWith(newTargets(1, { slots: 10, startedAtMs: 1 }));
    entry.receiveHead(entry.arrive(), newRefusingHead(60_000));
    entry.dispatch({
      type: 'targetsListed',
      targets: newTargets(1, { slots: 10, startedAtMs: 2 }),
    });
    expect(entry.getSends(entry.arrive())).toHaveLength(1);
  });
});
