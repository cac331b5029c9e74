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

const readyFor = (kind: RouteKind, maxAttempts = 3): RoutingHarness =>
  RoutingHarness.ready(
    newConfiguration({ routes: [newRoute({ kind, maxAttempts })] }),
    newTargets(4),
  );

describe('a send that fails', () => {
  it.each(['nonIdempotent', 'stream'] as const)('ends a %s request that may have run', (kind) => {
    const entry = readyFor(kind);
    const requestId = entry.arrive();
    entry.fail(requestId);
    expect(entry.sendsOf(requestId)).toHaveLength(1);
    expect(entry.refusalOf(requestId)).toEqual({ status: 502, reason: 'outcomeUnknown' });
  });

  it.each(['idempotent', 'resumableStream'] as const)('sends a %s request elsewhere', (kind) => {
    const entry = readyFor(kind);
    const requestId = entry.arrive();
    entry.fail(requestId);
    const targets = entry.sendsOf(requestId).map(({ targetId }) => targetId);
    expect(new Set(targets).size).toBe(2);
  });

  it('sends any request elsewhere that the target has not run', () => {
    const entry = readyFor('nonIdempotent');
    const requestId = entry.arrive();
    entry.begin(requestId, NOT_RUN_HEAD);
    expect(entry.sendsOf(requestId)).toHaveLength(2);
  });

  it('refuses as not run what every allowed target has refused', () => {
    const entry = readyFor('nonIdempotent', 2);
    const requestId = entry.arrive();
    entry.begin(requestId, NOT_RUN_HEAD);
    entry.begin(requestId, NOT_RUN_HEAD);
    expect(entry.refusalOf(requestId)).toMatchObject({ status: 503, reason: 'refusedByTargets' });
  });

  it('does not say not run of a repeat that was refused where the first send may have run', () => {
    const entry = readyFor('idempotent', 2);
    const requestId = entry.arrive();
    entry.fail(requestId);
    entry.begin(requestId, NOT_RUN_HEAD);
    expect(entry.refusalOf(requestId)?.status).toBe(502);
  });

  it('counts no attempt where no connection could be made', () => {
    const entry = readyFor('nonIdempotent', 1);
    const requestId = entry.arrive();
    entry.fail(requestId, 'neverSent');
    expect(entry.sendsOf(requestId)).toHaveLength(2);
  });

  it('cuts an answer that has begun and cannot go on', () => {
    const entry = readyFor('stream');
    const requestId = entry.arrive();
    entry.begin(requestId);
    entry.run({ type: 'answerWentOn', requestId, sendId: entry.lastSendOf(requestId).sendId });
    entry.fail(requestId);
    expect(entry.isBrokenOff(requestId)).toBe(true);
    expect(entry.refusalOf(requestId)).toBeUndefined();
  });

  it('takes an answer of another request, or one without a signature, for none', () => {
    const entry = readyFor('nonIdempotent');
    const foreign = entry.arrive();
    entry.begin(foreign, { ...GOOD_HEAD, isForeign: true });
    const unsigned = entry.arrive();
    entry.begin(unsigned, { ...GOOD_HEAD, isSealed: false });
    expect(entry.refusalOf(foreign)?.status).toBe(502);
    expect(entry.refusalOf(unsigned)?.status).toBe(502);
  });

  it('never runs a request twice that may not, whatever its sends come to', () => {
    const results = fc.array(fc.constantFrom('broken', 'neverSent', 'notRun', 'unsigned'), {
      maxLength: 8,
    });
    fc.assert(
      fc.property(results, fc.constantFrom('nonIdempotent', 'stream'), (steps, kind) => {
        const entry = readyFor(kind);
        const requestId = entry.arrive();
        let mayHaveRun = 0;
        for (const step of steps) {
          const before = entry.sendsOf(requestId).length;
          if (entry.refusalOf(requestId) !== undefined) {
            break;
          }
          if (step === 'broken' || step === 'neverSent') {
            entry.fail(requestId, step);
          } else {
            entry.begin(
              requestId,
              step === 'notRun' ? NOT_RUN_HEAD : { ...GOOD_HEAD, isSealed: false },
            );
          }
          mayHaveRun += step === 'broken' || step === 'unsigned' ? 1 : 0;
          entry.pass(500);
          const isSentAgain = entry.sendsOf(requestId).length > before;
          expect(isSentAgain && mayHaveRun > 0).toBe(false);
          const refusal = entry.refusalOf(requestId);
          expect(refusal?.status === 503 && mayHaveRun > 0).toBe(false);
        }
      }),
      { seed: 1, numRuns: 300 },
    );
  });
});

describe('the place of a send', () => {
  it('keeps every target within its slots, those of other entries counted', () => {
    const entry = RoutingHarness.ready(newConfiguration(), newTargets(2));
    entry.run({
      type: 'digestReceived',
      digest: newPeerDigest({ inFlight: { 'target-0': 2, 'target-1': 1 } }),
    });
    const first = entry.arrive();
    const second = entry.arrive();
    expect(entry.lastSendOf(first).targetId).toBe('target-1');
    expect(entry.sendsOf(second)).toHaveLength(0);
    entry.end(first);
    expect(entry.sendsOf(second)).toHaveLength(1);
  });

  it('leaves a target that is leaving or not listed any more alone', () => {
    const entry = RoutingHarness.ready(newConfiguration(), newTargets(2));
    entry.run({ type: 'targetsListed', targets: newTargets(1, { isLeaving: true }) });
    expect(entry.refusalOf(entry.arrive())).toMatchObject({ status: 503, reason: 'noTarget' });
  });

  it('avoids a target that just failed', () => {
    const entry = readyFor('idempotent');
    const requestId = entry.arrive();
    const failed = entry.lastSendOf(requestId).targetId;
    entry.fail(requestId);
    const others = Array.from({ length: 4 }, () => entry.lastSendOf(entry.arrive()).targetId);
    expect(others).not.toContain(failed);
  });
});

describe('a request whose time is up', () => {
  it('gets its answer at its route’s timeout, and its target is left', () => {
    const entry = readyFor('nonIdempotent');
    const requestId = entry.arrive();
    entry.pass(10_000);
    expect(entry.refusalOf(requestId)).toEqual({ status: 504, reason: 'timedOut' });
    expect(entry.effects.some(({ type }) => type === 'cancelSend')).toBe(true);
  });

  // Guards against CONFIG: requests that waited before they were judged and were held past their time.
  it('has used up what passed before it was judged', () => {
    const entry = readyFor('nonIdempotent');
    const requestId = entry.arrive({ elapsedMs: 2_000, deadlineMs: 2_500 });
    expect(entry.lastSendOf(requestId).remainingMs).toBe(500);
    entry.pass(500);
    expect(entry.refusalOf(requestId)).toEqual({ status: 504, reason: 'timedOut' });
  });

  it('is refused as not run where that was all of it', () => {
    const entry = readyFor('nonIdempotent');
    const requestId = entry.arrive({ elapsedMs: 10_000 });
    expect(entry.sendsOf(requestId)).toHaveLength(0);
    expect(entry.refusalOf(requestId)).toMatchObject({ status: 503, reason: 'deadlinePassed' });
  });

  it('passes on no more time than its caller has left', () => {
    const entry = RoutingHarness.ready(
      newConfiguration({ routes: [newRoute({ kind: 'nonIdempotent' })] }),
      newTargets(1, { slots: 1 }),
    );
    const first = entry.arrive();
    const second = entry.arrive({ deadlineMs: 2_000 });
    entry.pass(1_500);
    entry.end(first);
    expect(entry.lastSendOf(second).remainingMs).toBeLessThanOrEqual(500);
  });

  // Guards against GONE: a turn that came late hands out what waited beyond its time before the next round of checks.
  it('is handed to no target, also before it got its answer', () => {
    const entry = RoutingHarness.ready(
      newConfiguration({ routes: [newRoute({ kind: 'nonIdempotent' })] }),
      newTargets(1, { slots: 1 }),
    );
    const first = entry.arrive();
    const second = entry.arrive({ deadlineMs: 2_000 });
    entry.nowMs += 2_000;
    entry.end(first);
    expect(entry.sendsOf(second)).toHaveLength(0);
    entry.pass(50);
    expect(entry.refusalOf(second)).toMatchObject({ status: 503, reason: 'deadlinePassed' });
  });

  it('is not sent again once its caller has borne silence for too long', () => {
    const entry = readyFor('idempotent');
    const requestId = entry.arrive();
    entry.nowMs += 3_000;
    entry.fail(requestId);
    expect(entry.sendsOf(requestId)).toHaveLength(1);
  });

  it('frees its place once its caller has gone', () => {
    const entry = RoutingHarness.ready(newConfiguration(), newTargets(1, { slots: 1 }));
    const first = entry.arrive();
    const second = entry.arrive();
    entry.run({ type: 'callerGone', requestId: first });
    expect(entry.sendsOf(second)).toHaveLength(1);
  });
});
