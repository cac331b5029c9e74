import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { getQuotasLeft, getRepeatsLeft } from '../src/index.js';
import { newConfiguration } from './support/newConfiguration.js';
import { newPeerDigest } from './support/newPeerDigest.js';
import { newRoute } from './support/newRoute.js';
import { newTargets } from './support/newTargets.js';
import { RoutingHarness } from './support/routingHarness.js';

const WINDOW_MS = 8_000;
const ALLOWANCE = 10 * 8 + 20;

const configuration = newConfiguration({
  teams: [
    {
      name: 'red',
      keys: ['red-key'],
      quota: { unit: 'tokens', perSecond: 10, burst: 20, plainTokens: 1 },
    },
  ],
});

const readyWithQuota = (): RoutingHarness =>
  RoutingHarness.ready(configuration, newTargets(1, { slots: 10_000 }));

const isTaken = (entry: RoutingHarness, tokens: number): boolean => {
  const requestId = entry.arrive({ promptTokens: tokens, maxOutputTokens: 0 });
  return entry.refusalOf(requestId) === undefined;
};

describe('a team’s quota', () => {
  it('holds in any window', () => {
    const arrivals = fc.array(
      fc.record({ gapMs: fc.nat(900), tokens: fc.integer({ min: 1, max: 30 }) }),
      {
        maxLength: 60,
      },
    );
    fc.assert(
      fc.property(arrivals, (list) => {
        const entry = readyWithQuota();
        const taken: { readonly atMs: number; readonly tokens: number }[] = [];
        for (const { gapMs, tokens } of list) {
          entry.nowMs += gapMs;
          entry.confirm();
          if (isTaken(entry, tokens)) {
            taken.push({ atMs: entry.nowMs, tokens });
          }
        }
        for (const { atMs } of taken) {
          const inWindow = taken.filter((one) => one.atMs <= atMs && one.atMs > atMs - WINDOW_MS);
          const sum = inWindow.reduce((total, { tokens }) => total + tokens, 0);
          expect(sum).toBeLessThanOrEqual(ALLOWANCE);
        }
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it('is exceeded within the tolerance alone, and behind the work of teams within theirs', () => {
    const teams = [
      { name: 'red', keys: ['red-key'], quota: configuration.teams[0]?.quota },
      { name: 'blue', keys: ['blue-key'] },
    ].map(({ quota, ...team }) => (quota === undefined ? team : { ...team, quota }));
    const entry = RoutingHarness.ready(
      newConfiguration({ routes: [newRoute({ kind: 'nonIdempotent' })], teams }),
      newTargets(1, { slots: 1 }),
      { quotas: { windowMs: WINDOW_MS, overshoot: 0.2, slack: 100 } },
    );
    const tolerated = ALLOWANCE * 1.1 + 40;
    const running = entry.arrive({ key: 'blue-key' });
    let taken = 0;
    let last = 0;
    for (let turn = 0; turn < 40; turn += 1) {
      entry.nowMs += 150;
      entry.confirm();
      const requestId = entry.arrive({ promptTokens: 10, maxOutputTokens: 0 });
      if (entry.refusalOf(requestId) === undefined) {
        taken += 10;
        last = requestId;
      }
    }
    expect(taken).toBeGreaterThan(ALLOWANCE);
    expect(taken).toBeLessThanOrEqual(tolerated);
    const within = entry.arrive({ key: 'blue-key' });
    entry.end(running);
    expect(entry.sendsOf(last)).toHaveLength(0);
    expect(entry.state.requests.get(last)?.isBeyondQuota).toBe(true);
    expect(entry.state.requests.get(within)?.isBeyondQuota).toBe(false);
  });

  it('tells when to come back, and then has room', () => {
    const entry = readyWithQuota();
    isTaken(entry, 40);
    const refused = entry.arrive({ promptTokens: 30, maxOutputTokens: 0 });
    const refusal = entry.refusalOf(refused);
    expect(refusal?.status).toBe(429);
    entry.nowMs += refusal?.retryAfterMs ?? 0;
    entry.confirm();
    expect(isTaken(entry, 30)).toBe(true);
  });

  it('counts what other entries took', () => {
    const entry = readyWithQuota();
    entry.run({ type: 'digestReceived', digest: newPeerDigest({ quotaTaken: { red: 500 } }) });
    expect(isTaken(entry, 10)).toBe(true);
    entry.run({
      type: 'digestReceived',
      digest: newPeerDigest({ sequence: 2, quotaTaken: { red: 600 } }),
    });
    expect(isTaken(entry, 10)).toBe(false);
  });

  it('leaves the part of an entry that is silent, unless it left', () => {
    const silent = readyWithQuota();
    silent.run({ type: 'digestReceived', digest: newPeerDigest() });
    silent.pass(5_000);
    expect([isTaken(silent, 18), isTaken(silent, 18)]).toEqual([true, false]);
    const left = readyWithQuota();
    left.run({ type: 'digestReceived', digest: newPeerDigest({ isLeaving: true }) });
    left.pass(5_000);
    expect([isTaken(left, 18), isTaken(left, 18)]).toEqual([true, true]);
  });

  it('gives back what was refused before it ran', () => {
    const entry = RoutingHarness.ready(configuration, []);
    for (let turn = 0; turn < 20; turn += 1) {
      expect(entry.refusalOf(entry.arrive({ promptTokens: 30 }))?.reason).toBe('noTarget');
    }
  });

  it('is remembered by an entry that starts after all have stopped', () => {
    const entry = new RoutingHarness();
    entry.run({ type: 'configurationRead', configuration });
    entry.run({ type: 'targetsListed', targets: newTargets(1, { slots: 100 }) });
    entry.nowMs += 4_000;
    entry.confirm();
    expect([isTaken(entry, 20), isTaken(entry, 10)]).toEqual([true, false]);
    entry.run({ type: 'quotasRecalled', taken: { red: [10, 10, 10, 10, 0, 0, 5, 0] } });
    entry.nowMs += 2_000;
    entry.confirm();
    expect([isTaken(entry, 15), isTaken(entry, 30)]).toEqual([true, false]);
    expect(entry.state.quotasKnownSinceMs).toBeLessThan(entry.nowMs - WINDOW_MS);
  });

  it('is learned from another entry that knows the window, if that tells it', () => {
    const newEntry = (): RoutingHarness => {
      const entry = new RoutingHarness();
      entry.run({ type: 'configurationRead', configuration });
      entry.run({ type: 'targetsListed', targets: newTargets(1, { slots: 100 }) });
      entry.confirm();
      return entry;
    };
    const told = newEntry();
    const quotaRecent = { red: [0, 0, 0, 0, 0, 0, 0, 30] };
    told.run({
      type: 'digestReceived',
      digest: newPeerDigest({ knowsWindow: true, tellsRecent: true, quotaRecent }),
    });
    expect([isTaken(told, 5), isTaken(told, 30)]).toEqual([true, false]);
    const untold = newEntry();
    untold.run({ type: 'digestReceived', digest: newPeerDigest({ knowsWindow: true }) });
    expect(untold.state.quotasKnownSinceMs).toBe(untold.nowMs);
  });

  it('holds over the loss of all entries where most was taken just before', () => {
    const before = readyWithQuota();
    const taken: number[] = [];
    const takeFor = (entry: RoutingHarness, ms: number): void => {
      for (let leftMs = ms; leftMs > 0; leftMs -= 50) {
        entry.pass(50);
        if (isTaken(entry, 5)) {
          taken.push(entry.nowMs);
        }
      }
    };
    before.pass(4_000);
    takeFor(before, 4_300);
    const kept = before.effects.findLast((effect) => effect.type === 'rememberQuotas');
    const after = new RoutingHarness({}, before.nowMs + 500);
    after.run({ type: 'configurationRead', configuration });
    after.run({ type: 'targetsListed', targets: newTargets(1, { slots: 10_000 }) });
    after.run({
      type: 'quotasRecalled',
      taken: kept?.type === 'rememberQuotas' ? kept.taken : {},
    });
    takeFor(after, 10_000);
    const inWindow = taken.map(
      (endMs) => 5 * taken.filter((atMs) => atMs <= endMs && atMs > endMs - WINDOW_MS).length,
    );
    expect(Math.max(...inWindow)).toBeLessThanOrEqual(ALLOWANCE * 1.1);
  });

  it('is kept once a second by the first entry by name alone', () => {
    const countKept = (entry: RoutingHarness): number =>
      entry.effects.filter(({ type }) => type === 'rememberQuotas').length;
    const first = readyWithQuota();
    isTaken(first, 10);
    first.pass(3_000);
    expect(countKept(first)).toBe(3);
    const second = readyWithQuota();
    isTaken(second, 10);
    for (let sequence = 1; sequence <= 6; sequence += 1) {
      second.run({ type: 'digestReceived', digest: newPeerDigest({ host: 'a', sequence }) });
      second.pass(500);
    }
    expect(countKept(second)).toBe(0);
  });
});

describe('what is left', () => {
  it('of the quotas is told for the team that has least', () => {
    const entry = readyWithQuota();
    expect(getQuotasLeft(entry.state, entry.nowMs)).toEqual({ leastShare: 1, teamsWithout: 0 });
    isTaken(entry, 25);
    expect(getQuotasLeft(entry.state, entry.nowMs)).toEqual({ leastShare: 0.75, teamsWithout: 0 });
  });

  it('of the repeats falls with each one and is back after the window', () => {
    const entry = RoutingHarness.ready(newConfiguration(), newTargets(4));
    const before = getRepeatsLeft(entry.state, 'one', entry.nowMs);
    entry.fail(entry.arrive());
    const after = getRepeatsLeft(entry.state, 'one', entry.nowMs);
    expect(after).toBeCloseTo(before + 0.8 * 0.2 - 1);
    entry.pass(12_000);
    expect(getRepeatsLeft(entry.state, 'one', entry.nowMs)).toBeCloseTo(before);
  });
});

describe('the budget of repeats', () => {
  it('stays within ratio and slack, the slack divided among the entries', () => {
    const entry = RoutingHarness.ready(
      newConfiguration({ routes: [newRoute({ maxAttempts: 3 })] }),
      newTargets(40, { slots: 100 }),
    );
    entry.run({ type: 'digestReceived', digest: newPeerDigest() });
    const requests = 200;
    let repeats = 0;
    for (let turn = 0; turn < requests; turn += 1) {
      const requestId = entry.arrive();
      entry.fail(requestId);
      repeats += entry.sendsOf(requestId).length - 1;
    }
    expect(repeats).toBeGreaterThan(0);
    expect(repeats).toBeLessThanOrEqual(0.2 * requests + 50 / 2);
  });
});
