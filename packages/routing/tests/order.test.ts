import { describe, expect, it } from 'vitest';
import { newConfiguration } from './support/newConfiguration.js';
import { newRoute } from './support/newRoute.js';
import { newTargets } from './support/newTargets.js';
import { RoutingHarness } from './support/routingHarness.js';

const configuration = newConfiguration({
  routes: [
    newRoute({ name: 'urgent', kind: 'nonIdempotent', pathPrefix: '/urgent/', priority: 0 }),
    newRoute({ name: 'usual', kind: 'nonIdempotent', pathPrefix: '/usual/', priority: 1 }),
  ],
});

describe('the order of waiting requests', () => {
  it('is by tier, and within a tier by the earliest objective that can still be met', () => {
    const entry = RoutingHarness.createReady(configuration, newTargets(1, { slots: 1 }));
    let running = entry.arrive({ path: '/usual/0' });
    const usual = entry.arrive({ path: '/usual/1' });
    entry.advance(50);
    const urgent = entry.arrive({ path: '/urgent/1' });
    const order: number[] = [];
    for (let round = 0; round < 2; round += 1) {
      entry.endResponse(running);
      running = entry.getSends(urgent).length > 0 && !order.includes(urgent) ? urgent : usual;
      order.push(running);
    }
    expect(order).toEqual([urgent, usual]);
    expect(entry.getSends(usual)).toHaveLength(1);
  });

  it("is by the team's priority, and among teams of equal priority by the route's", () => {
    const entry = RoutingHarness.createReady(
      newConfiguration({
        routes: configuration.routes,
        teams: [{ name: 'red', keys: ['red-key'], priority: 1 }],
      }),
      newTargets(1, { slots: 1 }),
    );
    const running = entry.arrive({ path: '/usual/0' });
    const usual = entry.arrive({ path: '/usual/1' });
    const urgent = entry.arrive({ path: '/urgent/1' });
    entry.endResponse(running);
    expect(entry.getSends(urgent)).toHaveLength(1);
    expect(entry.getSends(usual)).toHaveLength(0);
  });

  it("is by the team's priority if it has one, otherwise by the route's", () => {
    const entry = RoutingHarness.createReady(
      newConfiguration({
        routes: configuration.routes,
        teams: [
          { name: 'red', keys: ['red-key'] },
          { name: 'blue', keys: ['blue-key'], priority: 0 },
          { name: 'grey', keys: ['grey-key'], priority: 2 },
        ],
      }),
      newTargets(1, { slots: 1 }),
    );
    let running = entry.arrive({ path: '/usual/0' });
    const grey = entry.arrive({ path: '/urgent/1', key: 'grey-key' });
    const red = entry.arrive({ path: '/usual/1' });
    const blue = entry.arrive({ path: '/usual/2', key: 'blue-key' });
    for (const next of [blue, red, grey]) {
      entry.endResponse(running);
      expect(entry.getSends(next)).toHaveLength(1);
      running = next;
    }
  });

  it('puts short requests that can meet their objective first, regardless of tier', () => {
    const entry = RoutingHarness.createReady(
      newConfiguration({
        routes: [
          newRoute({ kind: 'stream', pathPrefix: '/urgent/', priority: 0 }),
          newRoute({ kind: 'stream', pathPrefix: '/usual/', priority: 1 }),
        ],
      }),
      newTargets(1, { slots: 1 }),
    );
    const running = entry.arrive({ path: '/urgent/0', promptTokens: 100, maxOutputTokens: 300 });
    const { sendId } = entry.getLastSend(running);
    entry.dispatch({ type: 'responseProgressed', requestId: running, sendId });
    const urgent = entry.arrive({ path: '/urgent/1', promptTokens: 100, maxOutputTokens: 300 });
    const short = entry.arrive({ path: '/usual/1', promptTokens: 100, maxOutputTokens: 1 });
    entry.advance(300);
    entry.endResponse(running);
    expect(entry.getSends(short)).toHaveLength(1);
    expect(entry.getSends(urgent)).toHaveLength(0);
  });

  it('admits a short request even if the queue that it is sorted ahead of is full', () => {
    const entry = RoutingHarness.createReady(
      newConfiguration({ routes: [newRoute({ kind: 'stream' })] }),
      newTargets(1, { slots: 1 }),
    );
    const long = { promptTokens: 100, maxOutputTokens: 300 };
    const waiting = Array.from({ length: 60 }, () => entry.arrive(long));
    expect(entry.getRefusal(waiting.at(-1) ?? 0)).toMatchObject({ reason: 'overloaded' });
    const short = entry.arrive({ promptTokens: 100, maxOutputTokens: 1 });
    expect(entry.getRefusal(short)).toBeUndefined();
  });

  it('refuses immediately a request that more urgent arrivals will keep waiting for too long', () => {
    const stream = { kind: 'stream' } as const;
    const entry = RoutingHarness.createReady(
      newConfiguration({
        routes: [
          newRoute({ ...stream, pathPrefix: '/urgent/', priority: 0 }),
          newRoute({ ...stream, pathPrefix: '/usual/', priority: 1 }),
        ],
      }),
      newTargets(1, { slots: 2 }),
    );
    const work = { promptTokens: 100, maxOutputTokens: 300 };
    const running = [entry.arrive({ path: '/usual/0', ...work })];
    running.push(entry.arrive({ path: '/usual/1', ...work }));
    const early = entry.arrive({ path: '/usual/2', ...work });
    expect(entry.getRefusal(early)).toBeUndefined();
    for (let round = 0; round < 4; round += 1) {
      running.push(entry.arrive({ path: '/urgent/1', ...work }));
      entry.advance(200);
      entry.endResponse(running.shift() ?? 0);
    }
    const late = entry.arrive({ path: '/usual/3', ...work });
    expect(entry.getRefusal(late)).toMatchObject({ status: 503, reason: 'overloaded' });
    expect(entry.getRefusal(late)?.retryAfterMs).toBeGreaterThan(1_000);
  });

  it('puts late requests behind those that can still meet their objective', () => {
    const entry = RoutingHarness.createReady(configuration, newTargets(1, { slots: 1 }));
    const running = entry.arrive({ path: '/usual/0' });
    const late = entry.arrive({ path: '/usual/1' });
    entry.advance(600);
    const fresh = entry.arrive({ path: '/usual/2' });
    entry.endResponse(running);
    expect(entry.getSends(fresh)).toHaveLength(1);
    expect(entry.getSends(late)).toHaveLength(0);
  });

  it('refuses a late request that cannot start before its caller gives up', () => {
    const entry = RoutingHarness.createReady(configuration, newTargets(1, { slots: 1 }));
    entry.arrive({ path: '/usual/0' });
    const waiting = entry.arrive({ path: '/usual/1' });
    entry.advance(350);
    expect(entry.getRefusal(waiting)).toBeUndefined();
    entry.advance(2_600);
    expect(entry.getRefusal(waiting)).toMatchObject({ status: 503, reason: 'overloaded' });
    expect(entry.getRefusal(waiting)?.retryAfterMs).toBeGreaterThan(0);
  });
});
