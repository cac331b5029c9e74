import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { getQuotasLeft, getRetryBudgetLeft } from '../src/index.js';
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

const createReadyWithQuota = (): RoutingHarness =>
  RoutingHarness.createReady(configuration, newTargets(1, { slots: 10_000 }));

const isAdmitted = (entry: RoutingHarness, tokens: number): boolean => {
  const requestId = entry.arrive({ promptTokens: tokens, maxOutputTokens: 0 });
  return entry.getRefusal(requestId) === undefined;
};

describe('a team’s quota', () => {
  it('is enforced in any window', () => {
    const arrivals = fc.array(
      fc.record({ gapMs: fc.nat(900), tokens: fc.integer({ min: 1, max: 30 }) }),
      {
        maxLength: 60,
      },
    );
    fc.assert(
      fc.property(arrivals, (list) => {
        const entry = createReadyWithQuota();
        const used: { readonly atMs: number; readonly tokens: number }[] = [];
        for (const { gapMs, tokens } of list) {
          entry.nowMs += gapMs;
          entry.confirmConfiguration();
          if (isAdmitted(entry, tokens)) {
            used.push({ atMs: entry.nowMs, tokens });
          }
        }
        for (const { atMs } of used) {
          const inWindow = used.filter(
            (request) => request.atMs <= atMs && request.atMs > atMs - WINDOW_MS,
          );
          const sum = inWindow.reduce((total, { tokens }) => total + tokens, 0);
          expect(sum).toBeLessThanOrEqual(ALLOWANCE);
        }
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it('is exceeded only within the tolerance, by requests queued behind those of teams within their quotas', () => {
    const teams = [
      { name: 'red', keys: ['red-key'], quota: configuration.teams[0]?.quota },
      { name: 'blue', keys: ['blue-key'] },
    ].map(({ quota, ...team }) => (quota === undefined ? team : { ...team, quota }));
    const entry = RoutingHarness.createReady(
      newConfiguration({ routes: [newRoute({ kind: 'nonIdempotent' })], teams }),
      newTargets(1, { slots: 1 }),
      { quotas: { windowMs: WINDOW_MS, overshoot: 0.2, slack: 100 } },
    );
    const tolerated = ALLOWANCE * 1.1 + 40;
    const running = entry.arrive({ key: 'blue-key' });
    let used = 0;
    let last = 0;
    for (let round = 0; round < 40; round += 1) {
      entry.nowMs += 150;
      entry.confirmConfiguration();
      const requestId = entry.arrive({ promptTokens: 10, maxOutputTokens: 0 });
      if (entry.getRefusal(requestId) === undefined) {
        used += 10;
        last = requestId;
      }
    }
    expect(used).toBeGreaterThan(ALLOWANCE);
    expect(used).toBeLessThanOrEqual(tolerated);
    const within = entry.arrive({ key: 'blue-key' });
    entry.endResponse(running);
    expect(entry.getSends(last)).toHaveLength(0);
    expect(entry.state.requests.get(last)?.isBeyondQuota).toBe(true);
    expect(entry.state.requests.get(within)?.isBeyondQuota).toBe(false);
  });

  it('reports a retry-after, after which the request fits', () => {
    const entry = createReadyWithQuota();
    isAdmitted(entry, 40);
    const refused = entry.arrive({ promptTokens: 30, maxOutputTokens: 0 });
    const refusal = entry.getRefusal(refused);
    expect(refusal?.status).toBe(429);
    entry.nowMs += refusal?.retryAfterMs ?? 0;
    entry.confirmConfiguration();
    expect(isAdmitted(entry, 30)).toBe(true);
  });

  it('counts the usage of other entries', () => {
    const entry = createReadyWithQuota();
    entry.dispatch({ type: 'digestReceived', digest: newPeerDigest({ quotaTaken: { red: 500 } }) });
    expect(isAdmitted(entry, 10)).toBe(true);
    entry.dispatch({
      type: 'digestReceived',
      digest: newPeerDigest({ sequence: 2, quotaTaken: { red: 600 } }),
    });
    expect(isAdmitted(entry, 10)).toBe(false);
  });

  it('reserves the share of a silent entry, unless it announced its stop', () => {
    const silent = createReadyWithQuota();
    silent.dispatch({ type: 'digestReceived', digest: newPeerDigest() });
    silent.advance(5_000);
    expect([isAdmitted(silent, 18), isAdmitted(silent, 18)]).toEqual([true, false]);
    const left = createReadyWithQuota();
    left.dispatch({ type: 'digestReceived', digest: newPeerDigest({ isLeaving: true }) });
    left.advance(5_000);
    expect([isAdmitted(left, 18), isAdmitted(left, 18)]).toEqual([true, true]);
  });

  it('is refunded for requests that are refused before they run', () => {
    const entry = RoutingHarness.createReady(configuration, []);
    for (let round = 0; round < 20; round += 1) {
      expect(entry.getRefusal(entry.arrive({ promptTokens: 30 }))?.reason).toBe('noTarget');
    }
  });

  it('is restored by an entry that starts after all have stopped', () => {
    const entry = new RoutingHarness();
    entry.dispatch({ type: 'configurationRead', configuration });
    entry.dispatch({ type: 'targetsListed', targets: newTargets(1, { slots: 100 }) });
    entry.nowMs += 4_000;
    entry.confirmConfiguration();
    expect([isAdmitted(entry, 20), isAdmitted(entry, 10)]).toEqual([true, false]);
    entry.dispatch({ type: 'quotasRestored', usage: { red: [10, 10, 10, 10, 0, 0, 5, 0] } });
    entry.nowMs += 2_000;
    entry.confirmConfiguration();
    expect([isAdmitted(entry, 15), isAdmitted(entry, 30)]).toEqual([true, false]);
    expect(entry.state.quotasKnownSinceMs).toBeLessThan(entry.nowMs - WINDOW_MS);
  });

  it('is learned from another entry that knows the window and reports its usage', () => {
    const createNewEntry = (): RoutingHarness => {
      const entry = new RoutingHarness();
      entry.dispatch({ type: 'configurationRead', configuration });
      entry.dispatch({ type: 'targetsListed', targets: newTargets(1, { slots: 100 }) });
      return entry;
    };
    const informed = createNewEntry();
    const quotaRecent = { red: [0, 0, 0, 0, 0, 0, 0, 30] };
    informed.dispatch({
      type: 'digestReceived',
      digest: newPeerDigest({ knowsWindow: true, tellsRecent: true, quotaRecent }),
    });
    informed.confirmConfiguration();
    expect([isAdmitted(informed, 5), isAdmitted(informed, 30)]).toEqual([true, false]);
    const uninformed = createNewEntry();
    uninformed.dispatch({ type: 'digestReceived', digest: newPeerDigest({ knowsWindow: true }) });
    expect(uninformed.state.quotasKnownSinceMs).toBe(uninformed.nowMs);
  });

  it('is enforced across a loss of all entries shortly after most of it was used', () => {
    const before = createReadyWithQuota();
    const used: number[] = [];
    const requestFor = (entry: RoutingHarness, ms: number): void => {
      for (let leftMs = ms; leftMs > 0; leftMs -= 50) {
        entry.advance(50);
        if (isAdmitted(entry, 5)) {
          used.push(entry.nowMs);
        }
      }
    };
    before.advance(4_000);
    requestFor(before, 4_300);
    const persisted = before.effects.findLast((effect) => effect.type === 'rememberQuotas');
    const after = new RoutingHarness({}, before.nowMs + 500);
    after.dispatch({ type: 'configurationRead', configuration });
    after.dispatch({ type: 'targetsListed', targets: newTargets(1, { slots: 10_000 }) });
    after.dispatch({
      type: 'quotasRestored',
      usage: persisted?.type === 'rememberQuotas' ? persisted.usage : {},
    });
    requestFor(after, 10_000);
    const inWindow = used.map(
      (endMs) => 5 * used.filter((atMs) => atMs <= endMs && atMs > endMs - WINDOW_MS).length,
    );
    expect(Math.max(...inWindow)).toBeLessThanOrEqual(ALLOWANCE * 1.1);
  });

  it('is persisted once a second, only by the entry whose name sorts first', () => {
    const countPersisted = (entry: RoutingHarness): number =>
      entry.effects.filter(({ type }) => type === 'rememberQuotas').length;
    const first = createReadyWithQuota();
    isAdmitted(first, 10);
    first.advance(3_000);
    expect(countPersisted(first)).toBe(3);
    const second = createReadyWithQuota();
    isAdmitted(second, 10);
    for (let sequence = 1; sequence <= 6; sequence += 1) {
      second.dispatch({ type: 'digestReceived', digest: newPeerDigest({ host: 'a', sequence }) });
      second.advance(500);
    }
    expect(countPersisted(second)).toBe(0);
  });
});

describe('what remains', () => {
  it('of the quotas is reported for the team that has the least left', () => {
    const entry = createReadyWithQuota();
    expect(getQuotasLeft(entry.state, entry.nowMs)).toEqual({ leastShare: 1, teamsWithout: 0 });
    isAdmitted(entry, 25);
    expect(getQuotasLeft(entry.state, entry.nowMs)).toEqual({ leastShare: 0.75, teamsWithout: 0 });
  });

  it('of the retry budget shrinks with each retry and recovers after the window', () => {
    const entry = RoutingHarness.createReady(newConfiguration(), newTargets(4));
    const before = getRetryBudgetLeft(entry.state, 'one', entry.nowMs);
    entry.failSend(entry.arrive());
    const after = getRetryBudgetLeft(entry.state, 'one', entry.nowMs);
    expect(after).toBeCloseTo(before + 0.8 * 0.2 - 1);
    entry.advance(12_000);
    expect(getRetryBudgetLeft(entry.state, 'one', entry.nowMs)).toBeCloseTo(before);
  });
});

describe('the retry budget', () => {
  it('stays within ratio and slack, with the slack divided among the entries', () => {
    const entry = RoutingHarness.createReady(
      newConfiguration({ routes: [newRoute({ maxAttempts: 3 })] }),
      newTargets(40, { slots: 100 }),
    );
    entry.dispatch({ type: 'digestReceived', digest: newPeerDigest() });
    const requests = 200;
    let retries = 0;
    for (let round = 0; round < requests; round += 1) {
      const requestId = entry.arrive();
      entry.failSend(requestId);
      retries += entry.getSends(requestId).length - 1;
    }
    expect(retries).toBeGreaterThan(0);
    expect(retries).toBeLessThanOrEqual(0.2 * requests + 50 / 2);
  });
});
