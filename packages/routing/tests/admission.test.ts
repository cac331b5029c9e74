import { describe, expect, it } from 'vitest';
import { newConfiguration } from './support/newConfiguration.js';
import { newRoute } from './support/newRoute.js';
import { newTargets } from './support/newTargets.js';
import { RoutingHarness } from './support/routingHarness.js';

describe('admission', () => {
  it('refuses as not run while no configuration is known', () => {
    const entry = new RoutingHarness();
    const refusal = entry.refusalOf(entry.arrive());
    expect(refusal).toMatchObject({ status: 503, reason: 'noConfiguration' });
    expect(refusal?.retryAfterMs).toBeGreaterThan(0);
  });

  it('takes the longest prefix of the host, without regard to case and port', () => {
    const long = newRoute({ pathPrefix: '/a/b/', destinations: [{ service: 'two', weight: 1 }] });
    const entry = RoutingHarness.ready(newConfiguration({ routes: [newRoute(), long] }), [
      ...newTargets(1),
      ...newTargets(1, { id: 'second', service: 'two' }),
    ]);
    const requestId = entry.arrive({ host: 'A.example:8080', path: '/a/b/c' });
    expect(entry.lastSendOf(requestId).targetId).toBe('second');
  });

  it('answers 404 without a route and 401 without a known key', () => {
    const entry = RoutingHarness.ready();
    expect(entry.refusalOf(entry.arrive({ path: '/b/' }))?.status).toBe(404);
    expect(entry.refusalOf(entry.arrive({ key: 'blue-key' }))?.status).toBe(401);
  });

  it('splits by weight', () => {
    const route = newRoute({
      destinations: [
        { service: 'one', weight: 9 },
        { service: 'two', weight: 1 },
      ],
    });
    const entry = RoutingHarness.ready(newConfiguration({ routes: [route] }), [
      ...newTargets(1, { slots: 100 }),
      ...newTargets(1, { id: 'second', service: 'two', slots: 100 }),
    ]);
    const sent = Array.from({ length: 10 }, (_, index) =>
      entry.lastSendOf(entry.arrive({ random: (index + 0.5) / 10 })),
    );
    expect(sent.filter(({ targetId }) => targetId === 'second')).toHaveLength(1);
  });

  it('never goes back to an older version', () => {
    const entry = RoutingHarness.ready(newConfiguration({ version: 5 }));
    entry.run({
      type: 'configurationRead',
      configuration: newConfiguration({ version: 4, teams: [] }),
    });
    expect(entry.state.index?.configuration.version).toBe(5);
  });
});

describe('a key that may have been taken away', () => {
  it('is refused as not run once the configuration was last confirmed too long ago', () => {
    const entry = RoutingHarness.ready();
    entry.nowMs += 4_800;
    expect(entry.refusalOf(entry.arrive())).toBeUndefined();
    entry.nowMs += 100;
    expect(entry.refusalOf(entry.arrive())).toMatchObject({
      status: 503,
      reason: 'configurationUnconfirmed',
    });
  });

  it('is refused after a suspension that the steady clock does not count', () => {
    const entry = RoutingHarness.ready();
    entry.wallOffsetMs += 6_000;
    expect(entry.refusalOf(entry.arrive())?.reason).toBe('configurationUnconfirmed');
  });

  it('has the configuration confirmed at once after such a jump, and only then', () => {
    const entry = RoutingHarness.ready();
    const countAsked = (): number =>
      entry.effects.filter(({ type }) => type === 'confirmConfiguration').length;
    entry.pass(1_000);
    expect(countAsked()).toBe(0);
    entry.wallOffsetMs += 6_000;
    entry.pass(1_000);
    expect(countAsked()).toBe(1);
    entry.wallOffsetMs -= 6_000;
    entry.pass(1_000);
    expect(countAsked()).toBe(1);
  });

  it('is refused by the steady clock where the time of day was set back', () => {
    const entry = RoutingHarness.ready();
    entry.wallOffsetMs -= 60_000;
    entry.nowMs += 6_000;
    expect(entry.refusalOf(entry.arrive())?.reason).toBe('configurationUnconfirmed');
  });

  it('does not matter on a route that needs none', () => {
    const routes = [newRoute({ isAnonymousAllowed: true })];
    const entry = RoutingHarness.ready(newConfiguration({ routes }));
    entry.nowMs += 60_000;
    const requestId = entry.arrive({ key: 'unknown' });
    expect(entry.sendsOf(requestId)).toHaveLength(1);
    expect(entry.lastSendOf(requestId).team).toBeUndefined();
  });
});
