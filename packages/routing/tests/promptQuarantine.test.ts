import { describe, expect, it } from 'vitest';
import { RoutingWorld } from './support/routingWorld.js';

/** The time within which all entries have to know, in milliseconds after the fifth crash. */
const REACTION_MS = 3_000;
/** Requests with the part that may still reach targets after that. */
const TOLERATED_SENDS = 3;
const DEADLY = 'deadly';
const FIRST_PARTS = ['alpha', 'beta', 'gamma'];

const SIZES = [
  { entryCount: 4, targetCount: 13, perSecond: 40 },
  { entryCount: 18, targetCount: 40, perSecond: 120 },
  { entryCount: 68, targetCount: 87, perSecond: 250 },
];

const getFirstPart = (count: number): string =>
  FIRST_PARTS[(count * 7) % FIRST_PARTS.length] ?? 'alpha';

/** One request in twenty has the deadly part behind a first part that sound requests have as well. */
const chooseParts = (count: number): readonly string[] =>
  count % 20 === 0 ? [getFirstPart(count), DEADLY] : [getFirstPart(count)];

const countLateSends = (world: RoutingWorld, part: string): number => {
  const fifthCrashAtMs = world.crashesAtMs[4] ?? Infinity;
  return world.countArrivals(({ parts }) => parts.includes(part), fifthCrashAtMs + REACTION_MS);
};

describe('a part of prompts that crashes targets', () => {
  // Guards against requests with one part crashing target after target, since nothing is remembered of a request that
  // did.
  it.each(SIZES)(
    'no longer reaches targets once it has crashed five ($entryCount entries)',
    ({ perSecond, ...size }) => {
      const world = new RoutingWorld(size);
      world.deadlyParts.add(DEADLY);
      world.runWithLoad(15_000, perSecond, chooseParts);
      expect(world.crashesAtMs.length).toBeGreaterThan(0);
      expect(countLateSends(world, DEADLY)).toBeLessThanOrEqual(TOLERATED_SENDS);
    },
  );
});
