import { describe, expect, it } from 'vitest';
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
});
