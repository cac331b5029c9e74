import { describe, expect, it } from 'vitest';
import { newConfiguration } from './support/newConfiguration.js';
import { newPeerDigest } from './support/newPeerDigest.js';
import { newRoute } from './support/newRoute.js';
import { newTargets } from './support/newTargets.js';
import { RoutingHarness } from './support/routingHarness.js';

describe('admission', () => {
  it('refuses with a retry-after while no configuration is known', () => {
    const entry = new RoutingHarness();
    const refusal = entry.getRefusal(entry.arrive());
    expect(refusal).toMatchObject({ status: 503, reason: 'noConfiguration' });
    expect(refusal?.retryAfterMs).toBeGreaterThan(0);
  });

  it("matches the longest path prefix of the host, ignoring the host's case and port", () => {
    const long = newRoute({ pathPrefix: '/a/b/', destinations: [{ service: 'two', weight: 1 }] });
    const entry = RoutingHarness.createReady(newConfiguration({ routes: [newRoute(), long] }), [
      ...newTargets(1),
      ...newTargets(1, { id: 'second', service: 'two' }),
    ]);
    const requestId = entry.arrive({ host: 'A.example:8080', path: '/a/b/c' });
    expect(entry.getLastSend(requestId).targetId).toBe('second');
  });

  it('answers 404 without a route and 401 without a known key', () => {
    const entry = RoutingHarness.createReady();
    expect(entry.getRefusal(entry.arrive({ path: '/b/' }))?.status).toBe(404);
    expect(entry.getRefusal(entry.arrive({ key: 'blue-key' }))?.status).toBe(401);
  });

  it('splits requests among services by weight', () => {
    const route = newRoute({
      destinations: [
        { service: 'one', weight: 9 },
        { service: 'two', weight: 1 },
      ],
    });
    const entry = RoutingHarness.createReady(newConfiguration({ routes: [route] }), [
      ...newTargets(1, { slots: 100 }),
      ...newTargets(1, { id: 'second', service: 'two', slots: 100 }),
    ]);
    const sent = Array.from({ length: 10 }, (_, index) =>
      entry.getLastSend(entry.arrive({ random: (index + 0.5) / 10 })),
    );
    expect(sent.filter(({ targetId }) => targetId === 'second')).toHaveLength(1);
  });

  it('ignores an older configuration version', () => {
    const entry = RoutingHarness.createReady(newConfiguration({ version: 5 }));
    entry.dispatch({
      type: 'configurationRead',
      configuration: newConfiguration({ version: 4, teams: [] }),
    });
    expect(entry.state.index?.configuration.version).toBe(5);
  });
});

describe('a key that may have been revoked', () => {
  it('is refused once the last confirmation of the configuration is too old', () => {
    const entry = RoutingHarness.createReady();
    entry.nowMs += 4_800;
    expect(entry.getRefusal(entry.arrive())).toBeUndefined();
    entry.nowMs += 100;
    expect(entry.getRefusal(entry.arrive())).toMatchObject({
      status: 503,
      reason: 'configurationUnconfirmed',
    });
  });

  it('is refused after a suspension that the monotonic clock does not count', () => {
    const entry = RoutingHarness.createReady();
    entry.wallOffsetMs += 6_000;
    expect(entry.getRefusal(entry.arrive())?.reason).toBe('configurationUnconfirmed');
  });

  it('triggers an immediate confirmation of the configuration after such a clock jump, and only then', () => {
    const entry = RoutingHarness.createReady();
    const countConfirmations = (): number =>
      entry.effects.filter(({ type }) => type === 'confirmConfiguration').length;
    entry.advance(1_000);
    expect(countConfirmations()).toBe(0);
    entry.wallOffsetMs += 6_000;
    entry.advance(1_000);
    expect(countConfirmations()).toBe(1);
    entry.wallOffsetMs -= 6_000;
    entry.advance(1_000);
    expect(countConfirmations()).toBe(1);
  });

  it('is refused by the monotonic clock if the wall clock was set back', () => {
    const entry = RoutingHarness.createReady();
    entry.wallOffsetMs -= 60_000;
    entry.nowMs += 6_000;
    expect(entry.getRefusal(entry.arrive())?.reason).toBe('configurationUnconfirmed');
  });
});

describe('a configuration whose last team was taken away', () => {
  const startWithout = (areKeysUsed: boolean, isAnonymousAllowed = false): RoutingHarness =>
    RoutingHarness.createReady(
      newConfiguration({ routes: [newRoute({ isAnonymousAllowed })], areKeysUsed, teams: [] }),
    );

  // Every route was open to all, to withdrawn keys too, when the last team had been taken away.
  it('still needs keys, and none is accepted', () => {
    const entry = startWithout(true);
    const requestIds = [entry.arrive(), entry.arrive({ key: 'unknown' }), entry.arriveWithoutKey()];
    requestIds.forEach((requestId) => {
      expect(entry.getSends(requestId)).toHaveLength(0);
      expect(entry.getRefusal(requestId)).toEqual({ status: 401, reason: 'unknownKey' });
    });
  });

  it('serves requests on routes that allow anonymous ones, without a team', () => {
    const entry = startWithout(true, true);
    [entry.arrive(), entry.arriveWithoutKey()].forEach((requestId) => {
      expect(entry.getLastSend(requestId).team).toBeUndefined();
    });
  });

  it('needs no key if keys are not used, however old it is', () => {
    const entry = startWithout(false);
    entry.nowMs += 60_000;
    [entry.arrive(), entry.arriveWithoutKey()].forEach((requestId) => {
      expect(entry.getLastSend(requestId).team).toBeUndefined();
    });
  });
});

describe('a route that allows anonymous requests', () => {
  const OPEN = { isAnonymousAllowed: true };
  const startOpen = (): RoutingHarness =>
    RoutingHarness.createReady(newConfiguration({ routes: [newRoute(OPEN)] }));

  it('serves requests without a key, however old the configuration is', () => {
    const entry = startOpen();
    entry.nowMs += 60_000;
    const requestId = entry.arriveWithoutKey();
    expect(entry.getSends(requestId)).toHaveLength(1);
    expect(entry.getLastSend(requestId).team).toBeUndefined();
  });

  it('serves requests with an unknown key without a team', () => {
    const entry = startOpen();
    const requestId = entry.arrive({ key: 'unknown' });
    expect(entry.getSends(requestId)).toHaveLength(1);
    expect(entry.getLastSend(requestId).team).toBeUndefined();
  });

  it('serves requests with a known key with its team', () => {
    const entry = startOpen();
    expect(entry.getLastSend(entry.arrive()).team).toBe('red');
  });

  // A withdrawn key named its former team to targets for as long as the store turned the entry away.
  it.each(['red-key', 'unknown'])(
    'refuses requests with a key (%s) once the last confirmation of the configuration is too old',
    (key) => {
      const entry = startOpen();
      entry.nowMs += 4_850;
      expect(entry.getSends(entry.arrive({ key }))).toHaveLength(1);
      entry.nowMs += 1;
      const requestId = entry.arrive({ key });
      expect(entry.getSends(requestId)).toHaveLength(0);
      const refusal = entry.getRefusal(requestId);
      expect(refusal).toMatchObject({ status: 503, reason: 'configurationUnconfirmed' });
      expect(refusal?.retryAfterMs).toBeGreaterThan(0);
    },
  );

  // A withdrawn key used up the quota of its former team while the store turned the entry away.
  it('charges no quota for a key that may have been withdrawn', () => {
    const quota = { unit: 'requests' as const, perSecond: 1, burst: 10, plainTokens: 0 };
    const entry = RoutingHarness.createReady(
      newConfiguration({
        routes: [newRoute(OPEN)],
        teams: [{ name: 'red', keys: ['red-key'], quota }],
      }),
    );
    entry.nowMs += 6_000;
    entry.arrive();
    expect(entry.state.quotaAccounts.isEmpty()).toBe(true);
  });

  it('accepts keys again with the next confirmation', () => {
    const entry = startOpen();
    entry.nowMs += 60_000;
    entry.confirmConfiguration();
    expect(entry.getLastSend(entry.arrive()).team).toBe('red');
  });
});

describe('a platform that has forgotten a version of the configuration', () => {
  const ENOUGH_MS = 4_900;

  it('does not confirm the newer version in force', () => {
    const entry = RoutingHarness.createReady(newConfiguration({ version: 7 }));
    entry.nowMs += ENOUGH_MS;
    entry.confirmConfiguration(6);
    expect(entry.getRefusal(entry.arrive())?.reason).toBe('configurationUnconfirmed');
    entry.confirmConfiguration(7);
    expect(entry.getRefusal(entry.arrive())).toBeUndefined();
  });

  it('does not confirm a version older than another entry has in force', () => {
    const entry = RoutingHarness.createReady(newConfiguration({ version: 6 }));
    const digest = newPeerDigest({ configurationVersion: 7 });
    entry.dispatch({ type: 'digestReceived', digest });
    entry.nowMs += ENOUGH_MS;
    entry.confirmConfiguration(6);
    expect(entry.getRefusal(entry.arrive())?.reason).toBe('configurationUnconfirmed');
    entry.dispatch({
      type: 'configurationRead',
      configuration: newConfiguration({ version: 7 }),
    });
    entry.confirmConfiguration(7);
    expect(entry.getRefusal(entry.arrive())).toBeUndefined();
  });

  it('does not give a withdrawn key back to an entry that starts now', () => {
    const entry = new RoutingHarness();
    entry.dispatch({ type: 'configurationRead', configuration: newConfiguration({ version: 6 }) });
    entry.dispatch({ type: 'targetsListed', targets: newTargets(2) });
    entry.confirmConfiguration(6);
    expect(entry.getRefusal(entry.arrive())?.reason).toBe('configurationUnconfirmed');
    const digest = newPeerDigest({ configurationVersion: 7 });
    entry.dispatch({ type: 'digestReceived', digest });
    entry.advance(2_000);
    expect(entry.getRefusal(entry.arrive())?.reason).toBe('configurationUnconfirmed');
  });
});

describe('an entry that has just started', () => {
  const startEntry = (): RoutingHarness => {
    const entry = new RoutingHarness();
    entry.dispatch({ type: 'configurationRead', configuration: newConfiguration() });
    entry.dispatch({ type: 'targetsListed', targets: newTargets(2) });
    entry.confirmConfiguration();
    return entry;
  };

  it('accepts keys as soon as another entry has confirmed that nothing newer exists', () => {
    const entry = startEntry();
    entry.dispatch({ type: 'digestReceived', digest: newPeerDigest({ configurationVersion: 1 }) });
    entry.dispatch({ type: 'ticked' });
    expect(entry.getRefusal(entry.arrive())).toBeUndefined();
  });

  it('accepts keys after a short while if there is no other entry', () => {
    const entry = startEntry();
    entry.nowMs += 500;
    entry.dispatch({ type: 'ticked' });
    expect(entry.getRefusal(entry.arrive())).toBeUndefined();
  });
});
