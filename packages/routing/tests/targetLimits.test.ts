import { describe, expect, it } from 'vitest';
import { GOOD_HEAD } from './support/goodHead.js';
import { newConfiguration } from './support/newConfiguration.js';
import { newTargets } from './support/newTargets.js';
import { RoutingHarness } from './support/routingHarness.js';
import { RoutingWorld } from './support/routingWorld.js';

const WINDOW_MS = 4_000;
/** After this time, in milliseconds, a limit has to be kept. */
const REACTION_MS = 3_000;
const TOLERANCE_FACTOR = 1.5;
const TOLERANCE = 5;

const SIZES = [
  { entryCount: 4, targetCount: 13, perSecond: 60 },
  { entryCount: 18, targetCount: 13, perSecond: 150 },
  { entryCount: 68, targetCount: 26, perSecond: 300 },
];

/** Requests per second. */
const LIMITS = [1.2, 2.9, 7];

const SMALL = { entryCount: 4, targetCount: 3 };
const SMALL_LOAD = 40;

const getAllowed = (limitPerSecond: number): number =>
  TOLERANCE_FACTOR * limitPerSecond * (WINDOW_MS / 1_000) + TOLERANCE;

/** The most requests that reached a target within any window after this moment. */
const findMost = (world: RoutingWorld, target: number, fromMs: number): number => {
  const timesMs = world.arrivals
    .filter((arrival) => arrival.target === target && arrival.atMs >= fromMs)
    .map(({ atMs }) => atMs);
  return timesMs.reduce(
    (most, startMs, index) =>
      Math.max(most, timesMs.slice(index).filter((atMs) => atMs < startMs + WINDOW_MS).length),
    0,
  );
};

/** The targets that have got the most requests so far. */
const findBusiest = (world: RoutingWorld, count: number): readonly number[] => {
  const arrivals = new Map<number, number>();
  world.arrivals.forEach(({ target }) => arrivals.set(target, (arrivals.get(target) ?? 0) + 1));
  return [...arrivals]
    .sort(([, left], [, right]) => right - left)
    .slice(0, count)
    .map(([target]) => target);
};

const createLimitedWorld = (limitPerSecond: number): RoutingWorld => {
  const world = new RoutingWorld(SMALL);
  world.runWithLoad(1_000, SMALL_LOAD);
  world.setLimit(0, limitPerSecond);
  world.runWithLoad(6_000, SMALL_LOAD);
  return world;
};

describe('a target that names a limit', () => {
  // Guards against entries that go on sending to a target as if it had named no limit, each for itself or all together.
  it.each(SIZES)(
    'gets no more from all entries together ($entryCount entries)',
    ({ perSecond, ...size }) => {
      const world = new RoutingWorld(size);
      world.runWithLoad(2_000, perSecond);
      const limits = new Map(
        findBusiest(world, LIMITS.length).map((target, index) => [target, LIMITS[index] ?? 0]),
      );
      limits.forEach((limitPerSecond, target) => {
        world.setLimit(target, limitPerSecond);
      });
      const namedAtMs = world.nowMs;
      world.runWithLoad(15_000, perSecond);
      limits.forEach((limitPerSecond, target) => {
        expect(findMost(world, target, namedAtMs + REACTION_MS)).toBeLessThanOrEqual(
          getAllowed(limitPerSecond),
        );
      });
    },
  );

  // Guards against second attempts that go round the limit.
  it('gets second attempts within the limit as well', () => {
    const world = new RoutingWorld({ entryCount: 4, targetCount: 3 });
    world.runWithLoad(1_000, SMALL_LOAD);
    world.setLimit(0, 3);
    const namedAtMs = world.nowMs;
    for (let round = 0; round < 8; round += 1) {
      world.crash(1 + (round % 2));
      world.runWithLoad(1_600, SMALL_LOAD);
    }
    expect(findMost(world, 0, namedAtMs + REACTION_MS)).toBeLessThanOrEqual(getAllowed(3));
  });

  // Guards against a limit that is kept so cautiously that the target is hardly used.
  it('still gets most of what it takes', () => {
    const world = createLimitedWorld(6);
    const fromMs = world.nowMs;
    world.runWithLoad(10_000, SMALL_LOAD);
    expect(world.countArrivals(({ target }) => target === 0, fromMs)).toBeGreaterThan(0.7 * 6 * 10);
  });

  // Guards against entries without a share that never hear of the end of a limit.
  it('gets work from all entries again once it no longer names it', () => {
    const world = createLimitedWorld(1.2);
    world.setLimit(0, undefined);
    world.runWithLoad(5_000, SMALL_LOAD);
    const fromMs = world.nowMs;
    world.runWithLoad(3_000, SMALL_LOAD);
    const senders = world.arrivals
      .filter(({ target, atMs }) => target === 0 && atMs >= fromMs)
      .map(({ entry }) => entry);
    expect(new Set(senders).size).toBe(SMALL.entryCount);
  });

  it.each([
    [8, 1.2],
    [1.2, 8],
  ])('gets no more than the new one when it changes from %d to %d a second', (before, after) => {
    const world = createLimitedWorld(before);
    world.setLimit(0, after);
    const changedAtMs = world.nowMs;
    world.runWithLoad(12_000, SMALL_LOAD);
    expect(findMost(world, 0, changedAtMs + REACTION_MS)).toBeLessThanOrEqual(getAllowed(after));
  });

  // Guards against a limit that is lost with the entry that knew it, and against a share that nobody uses.
  it('is sent the share of an entry that stops by another one', () => {
    const world = createLimitedWorld(1.2);
    const before = world.arrivals.filter(({ target }) => target === 0).at(-1)?.entry ?? 0;
    world.stopEntry(before);
    world.runWithLoad(2_000, SMALL_LOAD);
    const fromMs = world.nowMs;
    world.runWithLoad(8_000, SMALL_LOAD);
    const sent = world.countArrivals(({ target }) => target === 0, fromMs);
    expect(sent).toBeGreaterThan(4);
    expect(findMost(world, 0, fromMs)).toBeLessThanOrEqual(getAllowed(1.2));
  });

  it('is not sent more by an entry that starts later', () => {
    const world = createLimitedWorld(2.9);
    const fromMs = world.nowMs;
    for (let round = 0; round < 4; round += 1) {
      world.restartEntry(round);
      world.runWithLoad(3_000, SMALL_LOAD);
    }
    expect(findMost(world, 0, fromMs)).toBeLessThanOrEqual(getAllowed(2.9));
  });

  it('is tried from time to time if it takes nothing', () => {
    const world = createLimitedWorld(0);
    const fromMs = world.nowMs;
    world.runWithLoad(30_000, SMALL_LOAD);
    const sent = world.countArrivals(({ target }) => target === 0, fromMs);
    expect(sent).toBeGreaterThan(0);
    expect(sent).toBeLessThanOrEqual(TOLERANCE);
  });

  it('has none after a restart under the same name', () => {
    const entry = RoutingHarness.createReady(
      newConfiguration(),
      newTargets(1, { slots: 10, startedAtMs: 1 }),
    );
    entry.receiveHead(entry.arrive(), { ...GOOD_HEAD, limitPerSecond: 0.2 });
    expect(entry.getSends(entry.arrive())).toHaveLength(0);
    entry.dispatch({
      type: 'targetsListed',
      targets: newTargets(1, { slots: 10, startedAtMs: 2 }),
    });
    expect(entry.getSends(entry.arrive())).toHaveLength(1);
  });

  it('does not get or lose it by a response that belongs to another request', () => {
    const entry = RoutingHarness.createReady(newConfiguration(), newTargets(1, { slots: 10 }));
    entry.receiveHead(entry.arrive(), {
      ...GOOD_HEAD,
      limitPerSecond: 0.2,
      requestMatch: 'another',
    });
    expect(entry.getSends(entry.arrive())).toHaveLength(1);
  });
});
