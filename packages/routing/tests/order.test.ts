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

describe('the order of waiting work', () => {
  it('is by tier, and within one by the nearest objective that can still be met', () => {
    const entry = RoutingHarness.ready(configuration, newTargets(1, { slots: 1 }));
    let running = entry.arrive({ path: '/usual/0' });
    const usual = entry.arrive({ path: '/usual/1' });
    entry.pass(50);
    const urgent = entry.arrive({ path: '/urgent/1' });
    const order: number[] = [];
    for (let turn = 0; turn < 2; turn += 1) {
      entry.end(running);
      running = entry.sendsOf(urgent).length > 0 && !order.includes(urgent) ? urgent : usual;
      order.push(running);
    }
    expect(order).toEqual([urgent, usual]);
    expect(entry.sendsOf(usual)).toHaveLength(1);
  });

  it("goes by the team's own priority, and among teams of one priority by the route's", () => {
    const entry = RoutingHarness.ready(
      newConfiguration({
        routes: configuration.routes,
        teams: [{ name: 'red', keys: ['red-key'], priority: 1 }],
      }),
      newTargets(1, { slots: 1 }),
    );
    const running = entry.arrive({ path: '/usual/0' });
    const usual = entry.arrive({ path: '/usual/1' });
    const urgent = entry.arrive({ path: '/urgent/1' });
    entry.end(running);
    expect(entry.sendsOf(urgent)).toHaveLength(1);
    expect(entry.sendsOf(usual)).toHaveLength(0);
  });

  it("goes by a team's own priority where it has one, and by the route's elsewhere", () => {
    const entry = RoutingHarness.ready(
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
      entry.end(running);
      expect(entry.sendsOf(next)).toHaveLength(1);
      running = next;
    }
  });

  it('starts short work first while it can be on time, whatever its tier', () => {
    const entry = RoutingHarness.ready(
      newConfiguration({
        routes: [
          newRoute({ kind: 'stream', pathPrefix: '/urgent/', priority: 0 }),
          newRoute({ kind: 'stream', pathPrefix: '/usual/', priority: 1 }),
        ],
      }),
      newTargets(1, { slots: 1 }),
    );
    const running = entry.arrive({ path: '/urgent/0', promptTokens: 100, maxOutputTokens: 300 });
    const { sendId } = entry.lastSendOf(running);
    entry.run({ type: 'answerWentOn', requestId: running, sendId });
    const urgent = entry.arrive({ path: '/urgent/1', promptTokens: 100, maxOutputTokens: 300 });
    const short = entry.arrive({ path: '/usual/1', promptTokens: 100, maxOutputTokens: 1 });
    entry.pass(300);
    entry.end(running);
    expect(entry.sendsOf(short)).toHaveLength(1);
    expect(entry.sendsOf(urgent)).toHaveLength(0);
  });

  it('takes short work in, though the queue that it goes ahead of is full', () => {
    const entry = RoutingHarness.ready(
      newConfiguration({ routes: [newRoute({ kind: 'stream' })] }),
      newTargets(1, { slots: 1 }),
    );
    const long = { promptTokens: 100, maxOutputTokens: 300 };
    const waiting = Array.from({ length: 60 }, () => entry.arrive(long));
    expect(entry.refusalOf(waiting.at(-1) ?? 0)).toMatchObject({ reason: 'overloaded' });
    const short = entry.arrive({ promptTokens: 100, maxOutputTokens: 1 });
    expect(entry.refusalOf(short)).toBeUndefined();
  });

  it('refuses at once what more urgent arrivals will keep from being started', () => {
    const stream = { kind: 'stream' } as const;
    const entry = RoutingHarness.ready(
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
    expect(entry.refusalOf(early)).toBeUndefined();
    for (let turn = 0; turn < 4; turn += 1) {
      running.push(entry.arrive({ path: '/urgent/1', ...work }));
      entry.pass(200);
      entry.end(running.shift() ?? 0);
    }
    const late = entry.arrive({ path: '/usual/3', ...work });
    expect(entry.refusalOf(late)).toMatchObject({ status: 503, reason: 'overloaded' });
    expect(entry.refusalOf(late)?.retryAfterMs).toBeGreaterThan(1_000);
  });

  it('puts what is late already behind what can still be on time', () => {
    const entry = RoutingHarness.ready(configuration, newTargets(1, { slots: 1 }));
    const running = entry.arrive({ path: '/usual/0' });
    const late = entry.arrive({ path: '/usual/1' });
    entry.pass(600);
    const fresh = entry.arrive({ path: '/usual/2' });
    entry.end(running);
    expect(entry.sendsOf(fresh)).toHaveLength(1);
    expect(entry.sendsOf(late)).toHaveLength(0);
  });

  it('gives up, as not run, what is late and cannot begin before its caller leaves', () => {
    const entry = RoutingHarness.ready(configuration, newTargets(1, { slots: 1 }));
    entry.arrive({ path: '/usual/0' });
    const waiting = entry.arrive({ path: '/usual/1' });
    entry.pass(350);
    expect(entry.refusalOf(waiting)).toBeUndefined();
    entry.pass(2_600);
    expect(entry.refusalOf(waiting)).toMatchObject({ status: 503, reason: 'overloaded' });
    expect(entry.refusalOf(waiting)?.retryAfterMs).toBeGreaterThan(0);
  });
});
