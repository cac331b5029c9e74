import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { RouteKind } from '../src/index.js';
import { GOOD_HEAD } from './support/goodHead.js';
import { newConfiguration } from './support/newConfiguration.js';
import { newPeerDigest } from './support/newPeerDigest.js';
import { newRoute } from './support/newRoute.js';
import { newTargets } from './support/newTargets.js';
import { NOT_RUN_HEAD } from './support/notRunHead.js';
import { RoutingHarness } from './support/routingHarness.js';

const createReadyFor = (kind: RouteKind, maxAttempts = 3): RoutingHarness =>
  RoutingHarness.createReady(
    newConfiguration({ routes: [newRoute({ kind, maxAttempts })] }),
    newTargets(4),
  );

describe('a failed send', () => {
  it.each(['nonIdempotent', 'stream'] as const)('ends a %s request that may have run', (kind) => {
    const entry = createReadyFor(kind);
    const requestId = entry.arrive();
    entry.failSend(requestId);
    expect(entry.getSends(requestId)).toHaveLength(1);
    expect(entry.getRefusal(requestId)).toEqual({ status: 502, reason: 'outcomeUnknown' });
  });

  it.each(['idempotent', 'resumableStream'] as const)(
    'retries a %s request on another target',
    (kind) => {
      const entry = createReadyFor(kind);
      const requestId = entry.arrive();
      entry.failSend(requestId);
      const targets = entry.getSends(requestId).map(({ targetId }) => targetId);
      expect(new Set(targets).size).toBe(2);
    },
  );

  it('retries any request on another target if the first did not run it', () => {
    const entry = createReadyFor('nonIdempotent');
    const requestId = entry.arrive();
    entry.receiveHead(requestId, NOT_RUN_HEAD);
    expect(entry.getSends(requestId)).toHaveLength(2);
  });

  it('refuses with 503 a request that every tried target has refused', () => {
    const entry = createReadyFor('nonIdempotent', 2);
    const requestId = entry.arrive();
    entry.receiveHead(requestId, NOT_RUN_HEAD);
    entry.receiveHead(requestId, NOT_RUN_HEAD);
    expect(entry.getRefusal(requestId)).toMatchObject({ status: 503, reason: 'refusedByTargets' });
  });

  it('does not report a refused retry as not run if the first send may have run', () => {
    const entry = createReadyFor('idempotent', 2);
    const requestId = entry.arrive();
    entry.failSend(requestId);
    entry.receiveHead(requestId, NOT_RUN_HEAD);
    expect(entry.getRefusal(requestId)?.status).toBe(502);
  });

  it('does not count an attempt if no connection could be made', () => {
    const entry = createReadyFor('nonIdempotent', 1);
    const requestId = entry.arrive();
    entry.failSend(requestId, 'neverSent');
    expect(entry.getSends(requestId)).toHaveLength(2);
  });

  it('closes the connection if a response that has started cannot continue', () => {
    const entry = createReadyFor('stream');
    const requestId = entry.arrive();
    entry.receiveHead(requestId);
    entry.dispatch({
      type: 'responseProgressed',
      requestId,
      sendId: entry.getLastSend(requestId).sendId,
    });
    entry.failSend(requestId);
    expect(entry.isConnectionClosed(requestId)).toBe(true);
    expect(entry.getRefusal(requestId)).toBeUndefined();
  });

  it('treats a response to another request, or one without a signature, as a failed send', () => {
    const entry = createReadyFor('nonIdempotent');
    const foreign = entry.arrive();
    entry.receiveHead(foreign, { ...GOOD_HEAD, requestMatch: 'another' });
    const unsigned = entry.arrive();
    entry.receiveHead(unsigned, { ...GOOD_HEAD, isSigned: false });
    expect(entry.getRefusal(foreign)?.status).toBe(502);
    expect(entry.getRefusal(unsigned)?.status).toBe(502);
  });

  it('never runs a non-repeatable request twice, whatever the results of its sends', () => {
    const sendResults = fc.array(fc.constantFrom('broken', 'neverSent', 'notRun', 'unsigned'), {
      maxLength: 8,
    });
    fc.assert(
      fc.property(sendResults, fc.constantFrom('nonIdempotent', 'stream'), (results, kind) => {
        const entry = createReadyFor(kind);
        const requestId = entry.arrive();
        let mayHaveRun = 0;
        for (const result of results) {
          const before = entry.getSends(requestId).length;
          if (entry.getRefusal(requestId) !== undefined) {
            break;
          }
          if (result === 'broken' || result === 'neverSent') {
            entry.failSend(requestId, result);
          } else {
            entry.receiveHead(
              requestId,
              result === 'notRun' ? NOT_RUN_HEAD : { ...GOOD_HEAD, isSigned: false },
            );
          }
          mayHaveRun += result === 'broken' || result === 'unsigned' ? 1 : 0;
          entry.advance(500);
          const isSentAgain = entry.getSends(requestId).length > before;
          expect(isSentAgain && mayHaveRun > 0).toBe(false);
          const refusal = entry.getRefusal(requestId);
          expect(refusal?.status === 503 && mayHaveRun > 0).toBe(false);
        }
      }),
      { seed: 1, numRuns: 300 },
    );
  });
});

describe('the choice of a target', () => {
  it("never exceeds a target's slots, counting requests of other entries", () => {
    const entry = RoutingHarness.createReady(newConfiguration(), newTargets(2));
    entry.dispatch({
      type: 'digestReceived',
      digest: newPeerDigest({ inFlight: { 'target-0': 2, 'target-1': 1 } }),
    });
    const first = entry.arrive();
    const second = entry.arrive();
    expect(entry.getLastSend(first).targetId).toBe('target-1');
    expect(entry.getSends(second)).toHaveLength(0);
    entry.endResponse(first);
    expect(entry.getSends(second)).toHaveLength(1);
  });

  it('skips a target that is draining or no longer listed', () => {
    const entry = RoutingHarness.createReady(newConfiguration(), newTargets(2));
    entry.dispatch({ type: 'targetsListed', targets: newTargets(1, { isLeaving: true }) });
    expect(entry.getRefusal(entry.arrive())).toMatchObject({ status: 503, reason: 'noTarget' });
  });

  it('avoids a target that has just failed', () => {
    const entry = createReadyFor('idempotent');
    const requestId = entry.arrive();
    const failed = entry.getLastSend(requestId).targetId;
    entry.failSend(requestId);
    const others = Array.from({ length: 4 }, () => entry.getLastSend(entry.arrive()).targetId);
    expect(others).not.toContain(failed);
  });
});

describe('a request that times out', () => {
  it('is answered at its route’s timeout, and its send is cancelled', () => {
    const entry = createReadyFor('nonIdempotent');
    const requestId = entry.arrive();
    entry.advance(10_000);
    expect(entry.getRefusal(requestId)).toEqual({ status: 504, reason: 'timedOut' });
    expect(entry.effects.some(({ type }) => type === 'cancelSend')).toBe(true);
  });

  // Guards against holding a request past its deadline because the time that it waited before its arrival event is
  // ignored.
  it('counts the time before its arrival event towards its deadline', () => {
    const entry = createReadyFor('nonIdempotent');
    const requestId = entry.arrive({ elapsedMs: 2_000, deadlineMs: 2_500 });
    expect(entry.getLastSend(requestId).remainingMs).toBe(500);
    entry.advance(500);
    expect(entry.getRefusal(requestId)).toEqual({ status: 504, reason: 'timedOut' });
  });

  it('is refused as not run if that time exceeds its deadline', () => {
    const entry = createReadyFor('nonIdempotent');
    const requestId = entry.arrive({ elapsedMs: 10_000 });
    expect(entry.getSends(requestId)).toHaveLength(0);
    expect(entry.getRefusal(requestId)).toMatchObject({ status: 503, reason: 'deadlinePassed' });
  });

  it('passes no more time to the target than its caller has left', () => {
    const entry = RoutingHarness.createReady(
      newConfiguration({ routes: [newRoute({ kind: 'nonIdempotent' })] }),
      newTargets(1, { slots: 1 }),
    );
    const first = entry.arrive();
    const second = entry.arrive({ deadlineMs: 2_000 });
    entry.advance(1_500);
    entry.endResponse(first);
    expect(entry.getLastSend(second).remainingMs).toBeLessThanOrEqual(500);
  });

  // Guards against sending expired requests when a late event-loop turn frees a slot before the next tick checks
  // timeouts.
  it('is not sent to a target, even before the tick that refuses it', () => {
    const entry = RoutingHarness.createReady(
      newConfiguration({ routes: [newRoute({ kind: 'nonIdempotent' })] }),
      newTargets(1, { slots: 1 }),
    );
    const first = entry.arrive();
    const second = entry.arrive({ deadlineMs: 2_000 });
    entry.nowMs += 2_000;
    entry.endResponse(first);
    expect(entry.getSends(second)).toHaveLength(0);
    entry.advance(50);
    expect(entry.getRefusal(second)).toMatchObject({ status: 503, reason: 'deadlinePassed' });
  });

  it("is not retried after its caller's tolerated silence has passed", () => {
    const entry = createReadyFor('idempotent');
    const requestId = entry.arrive();
    entry.nowMs += 3_000;
    entry.failSend(requestId);
    expect(entry.getSends(requestId)).toHaveLength(1);
  });

  it('frees its slot once its caller disconnects', () => {
    const entry = RoutingHarness.createReady(newConfiguration(), newTargets(1, { slots: 1 }));
    const first = entry.arrive();
    const second = entry.arrive();
    entry.dispatch({ type: 'callerGone', requestId: first });
    expect(entry.getSends(second)).toHaveLength(1);
  });
});
