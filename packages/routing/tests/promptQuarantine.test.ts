import { describe, expect, it } from 'vitest';
import type { RoutingEffect, RoutingSettings, SharedQuarantine } from '../src/index.js';
import { newConfiguration } from './support/newConfiguration.js';
import { newPeerDigest } from './support/newPeerDigest.js';
import { newTargets } from './support/newTargets.js';
import { RoutingHarness } from './support/routingHarness.js';
import { RoutingWorld } from './support/routingWorld.js';

/** The time within which all entries have to know, in milliseconds after the fifth crash. */
const REACTION_MS = 3_000;
/** Requests with the part that may still reach targets after that. */
const TOLERATED_SENDS = 3;
const POISON = 'poison';
const FIRST_PARTS = ['alpha', 'beta', 'gamma'];
/** Longer than a quarantine is held at first, and than the entries take turns to start a trial. */
const FIRST_HOLD_MS = 70_000;

const SIZES = [
  { entryCount: 4, targetCount: 13, perSecond: 40 },
  { entryCount: 18, targetCount: 40, perSecond: 120 },
  { entryCount: 68, targetCount: 87, perSecond: 250 },
];
const SMALL = { entryCount: 4, targetCount: 13 };
const SMALL_ENTRIES = [0, 1, 2, 3];
const SMALL_LOAD = 40;

const getFirstPart = (count: number): string =>
  FIRST_PARTS[(count * 7) % FIRST_PARTS.length] ?? 'alpha';

/** One request in twenty has the poison part behind a first part that sound requests have as well. */
const chooseParts = (count: number): readonly string[] =>
  count % 20 === 0 ? [getFirstPart(count), POISON] : [getFirstPart(count)];

const chooseSound = (count: number): readonly string[] => [getFirstPart(count)];

const countLateSends = (world: RoutingWorld, part: string): number => {
  const fifthCrashAtMs = world.crashesAtMs[4] ?? Infinity;
  return world.countArrivals(({ parts }) => parts.includes(part), fifthCrashAtMs + REACTION_MS);
};

const createWorldWithQuarantine = (): RoutingWorld => {
  const world = new RoutingWorld(SMALL);
  world.poisonParts.add(POISON);
  world.runWithLoad(10_000, SMALL_LOAD, chooseParts);
  return world;
};

const isRefused = (entry: RoutingHarness | undefined, requestId: number): boolean =>
  entry?.getRefusal(requestId)?.reason === 'promptQuarantined';

const getQuarantined = (entry: RoutingHarness | undefined): readonly string[] => [
  ...(entry?.state.promptFaults.quarantines.keys() ?? []),
];

const findPersisted = (entries: readonly RoutingHarness[]): readonly SharedQuarantine[] =>
  entries
    .flatMap(({ effects }) => effects)
    .filter(
      (effect): effect is Extract<RoutingEffect, { type: 'rememberQuarantines' }> =>
        effect.type === 'rememberQuarantines',
    )
    .at(-1)?.quarantines ?? [];

describe('a part of prompts that crashes targets', () => {
  // Guards against requests with one part crashing target after target, since nothing is remembered of a request that
  // did.
  it.each(SIZES)(
    'no longer reaches targets once it has crashed five ($entryCount entries)',
    ({ perSecond, ...size }) => {
      const world = new RoutingWorld(size);
      world.poisonParts.add(POISON);
      world.runWithLoad(15_000, perSecond, chooseParts);
      expect(world.crashesAtMs.length).toBeGreaterThan(0);
      expect(countLateSends(world, POISON)).toBeLessThanOrEqual(TOLERATED_SENDS);
    },
  );

  // Guards against a verdict that covers sound requests because they share a first part with those that crash targets.
  it('does not keep sound requests with the same first parts from being answered', () => {
    const world = createWorldWithQuarantine();
    const calmFromMs = world.nowMs;
    world.runWithLoad(10_000, SMALL_LOAD, chooseParts);
    const sound = world.begun.filter(({ atMs }) => atMs >= calmFromMs).length;
    expect(sound).toBeGreaterThan(0.9 * SMALL_LOAD * 0.95 * 10);
  });

  // Guards against a part that is recognized only while it is the only one.
  it('is recognized beside a second one', () => {
    const world = new RoutingWorld(SMALL);
    world.poisonParts.add(POISON).add('second');
    world.runWithLoad(15_000, SMALL_LOAD, (count) =>
      count % 33 === 5 ? [getFirstPart(count), 'second'] : chooseParts(count),
    );
    expect(countLateSends(world, POISON) + countLateSends(world, 'second')).toBeLessThanOrEqual(
      2 * TOLERATED_SENDS,
    );
  });

  // Guards against a verdict on the first part when it has only been seen together with the one that crashes targets.
  it('is told apart from a part that was always beside it once that is answered alone', () => {
    const world = new RoutingWorld(SMALL);
    world.poisonParts.add(POISON);
    world.runWithLoad(5_000, SMALL_LOAD, (count) => (count % 20 === 0 ? ['rare', POISON] : []));
    expect(getQuarantined(world.entries[0])).toEqual([`${POISON},rare`]);
    world.runWithLoad(2_000, SMALL_LOAD, (count) => (count % 20 === 0 ? ['rare'] : []));
    world.entries.forEach((entry) => {
      expect(getQuarantined(entry)).toEqual([POISON]);
    });
  });

  // Guards against a service with a single target, of which the list does not tell one start from the next.
  it('is recognized at a target that comes back under the same name', () => {
    const entry = RoutingHarness.createReady(newConfiguration(), newTargets(1, { slots: 10 }));
    for (let crash = 0; crash < 3; crash += 1) {
      const requestIds = [['first', POISON], ['second']].map((sharedPromptParts) =>
        entry.arrive({ sharedPromptParts }),
      );
      requestIds.forEach((requestId) => {
        entry.failSend(requestId);
      });
      entry.advance(4_000);
      const sound = entry.arrive({ sharedPromptParts: ['second'] });
      entry.receiveHead(sound);
      entry.endResponse(sound);
      entry.advance(1_000);
    }
    expect(getQuarantined(entry)).toEqual([`first,${POISON}`]);
  });

  it('is refused with the time after which it is worth another try, as not run', () => {
    const world = createWorldWithQuarantine();
    const refusal = world.entries[1]?.getRefusal(world.arrive(1, ['alpha', POISON]));
    expect(refusal).toMatchObject({ status: 503, reason: 'promptQuarantined' });
    expect(refusal?.retryAfterMs).toBeGreaterThan(10_000);
  });

  // Guards against targets that are lost to requests that were on their way before the verdict.
  it('is taken back from targets that have not begun with it', () => {
    const world = new RoutingWorld(SMALL);
    const requestId = world.arrive(0, [POISON]);
    const [entry] = world.entries;
    const quarantines = [{ parts: [POISON], ageMs: 0, leftMs: 60_000, holdMs: 60_000 }];
    entry?.dispatch({ type: 'quarantinesRead', quarantines });
    expect(entry?.effects.some(({ type }) => type === 'cancelSend')).toBe(true);
    expect(entry?.getRefusal(requestId)).toEqual({ status: 502, reason: 'promptQuarantined' });
  });

  // Guards against entries that start later and crash targets to learn what the others know.
  it('is known to an entry that starts later', () => {
    const world = createWorldWithQuarantine();
    const entry = world.restartEntry(2);
    world.run(3_000);
    expect(isRefused(entry, world.arrive(2, ['alpha', POISON]))).toBe(true);
  });

  // Guards against a restart of all entries at once, which leaves none that could tell.
  it('is known from the store after all entries have restarted', () => {
    const world = createWorldWithQuarantine();
    const quarantines = findPersisted(world.entries);
    expect(quarantines).toHaveLength(1);
    const [entry] = SMALL_ENTRIES.map((index) => world.restartEntry(index));
    entry?.dispatch({ type: 'quarantinesRead', quarantines });
    world.run(1_000);
    expect(isRefused(entry, world.arrive(0, ['alpha', POISON]))).toBe(true);
  });

  it('is persisted by one entry', () => {
    const world = createWorldWithQuarantine();
    const writers = world.entries.filter(({ effects }) =>
      effects.some(({ type }) => type === 'rememberQuarantines'),
    );
    expect(writers).toHaveLength(1);
  });

  // Guards against a verdict that never ends.
  it('is let through once after the hold, and released everywhere if it is answered', () => {
    const world = createWorldWithQuarantine();
    world.poisonParts.clear();
    world.run(FIRST_HOLD_MS);
    const fromMs = world.nowMs;
    world.runWithLoad(3_000, SMALL_LOAD, chooseParts);
    expect(world.countArrivals(({ parts }) => parts.includes(POISON), fromMs)).toBeGreaterThan(1);
    world.entries.forEach((entry) => {
      expect(getQuarantined(entry)).toEqual([]);
    });
  });

  // Guards against trials that crash target after target while the cause is still there.
  it('crashes one target more after the hold if it still does, and is held for longer', () => {
    const world = createWorldWithQuarantine();
    world.run(FIRST_HOLD_MS);
    const before = world.crashesAtMs.length;
    world.runWithLoad(60_000, SMALL_LOAD, chooseParts);
    expect(world.crashesAtMs.length - before).toBe(1);
  });

  it('is not refused if the operator trusts it', () => {
    const world = createWorldWithQuarantine();
    const [entry] = world.entries;
    const settings = { ...world.entries[0]?.state.settings, trustedPromptParts: [POISON] };
    entry?.dispatch({ type: 'settingsRead', settings: settings as RoutingSettings });
    expect(isRefused(entry, world.arrive(0, ['alpha', POISON]))).toBe(false);
  });
});

describe('prompts with very many or very long parts', () => {
  // Guards against digests that no longer fit into a datagram, so that entries lose one another.
  it('do not make a digest too long', () => {
    const entry = RoutingHarness.createReady(newConfiguration(), newTargets(40, { slots: 10 }));
    for (let count = 0; count < 200; count += 1) {
      const sharedPromptParts = Array.from({ length: 100 }, (_, part) =>
        `${count}-${part}`.padEnd(part % 2 === 0 ? 60 : 1_000, 'x'),
      );
      const requestIds = [1, 2].map(() => entry.arrive({ sharedPromptParts }));
      requestIds.forEach((requestId) => {
        entry.failSend(requestId);
      });
      entry.advance(100);
    }
    const lengths = entry.effects.flatMap((effect) =>
      effect.type === 'sendDigest' ? [JSON.stringify(effect.digest).length] : [],
    );
    expect(Math.max(...lengths)).toBeGreaterThan(1_000);
    expect(Math.max(...lengths)).toBeLessThan(60_000);
  });
});

describe('very many quarantines', () => {
  // Guards against a decision that never ends because what it adds is dropped at once.
  it('do not keep a new one from being imposed', () => {
    const entry = RoutingHarness.createReady(newConfiguration(), newTargets(40, { slots: 10 }));
    const quarantines = Array.from({ length: 64 }, (_, index) => ({
      parts: [`known-${index}`],
      ageMs: 0,
      leftMs: 60_000,
      holdMs: 60_000,
    }));
    entry.nowMs += 60_000;
    entry.dispatch({ type: 'quarantinesRead', quarantines });
    entry.nowMs -= 60_000;
    for (let crash = 0; crash < 3; crash += 1) {
      const requestIds = [1, 2].map(() => entry.arrive({ sharedPromptParts: [POISON] }));
      const targetIds = requestIds.map((requestId) => entry.getLastSend(requestId).targetId);
      requestIds.forEach((requestId) => {
        entry.failSend(requestId);
      });
      const remaining = [...entry.state.targets.values()].map(({ listed }) => listed);
      entry.dispatch({
        type: 'targetsListed',
        targets: remaining.filter(({ id }) => !targetIds.includes(id)),
      });
      entry.advance(1_000);
    }
    expect(getQuarantined(entry)).toHaveLength(64);
    expect(getQuarantined(entry)).toContain(POISON);
  });
});

describe('crashes that no prompt causes', () => {
  // Guards against a verdict on parts of sound prompts that were at targets which crashed for another reason.
  it('quarantine nothing if many targets crash at the same moment', () => {
    const world = new RoutingWorld(SMALL);
    world.runWithLoad(2_000, 80, chooseSound);
    for (let target = 0; target < SMALL.targetCount; target += 1) {
      world.crash(target);
    }
    world.runWithLoad(6_000, 80, chooseSound);
    expect(world.entries.flatMap(getQuarantined)).toEqual([]);
  });

  it('quarantine nothing if targets crash one after the other', () => {
    const world = new RoutingWorld(SMALL);
    for (let target = 0; target < SMALL.targetCount; target += 1) {
      world.runWithLoad(500, 80, chooseSound);
      world.crash(target);
    }
    expect(world.entries.flatMap(getQuarantined)).toEqual([]);
  });

  // Guards against taking a target that resets single requests for one that crashes.
  it('are not assumed at a target that breaks off single sends and goes on with others', () => {
    const world = new RoutingWorld({ entryCount: 1, targetCount: 4 });
    const [entry] = world.entries;
    for (let count = 0; count < 40; count += 1) {
      world.arrive(0, ['sound']);
      const requestId = world.arrive(0, ['unlucky']);
      entry?.failSend(requestId);
      world.run(500);
    }
    expect(getQuarantined(entry)).toEqual([]);
  });

  // Guards against a verdict by sends that were reset at targets which crashed only later.
  it('are not assumed at a target that answers after a broken send and is gone later', () => {
    const targets = newTargets(4, { slots: 10 });
    const entry = RoutingHarness.createReady(newConfiguration(), targets);
    for (let left = targets.length; left > 1; left -= 1) {
      const broken = entry.arrive({ sharedPromptParts: ['unlucky'] });
      const { targetId } = entry.getLastSend(broken);
      const others = Array.from({ length: 12 }, () => entry.arrive());
      const beside = others.find((other) => entry.getLastSend(other).targetId === targetId) ?? 0;
      entry.failSend(broken);
      entry.advance(400);
      entry.receiveHead(beside);
      entry.endResponse(beside);
      entry.advance(1_000);
      const remaining = [...entry.state.targets.values()].map(({ listed }) => listed);
      entry.dispatch({
        type: 'targetsListed',
        targets: remaining.filter(({ id }) => id !== targetId),
      });
      entry.advance(1_000);
    }
    expect(getQuarantined(entry)).toEqual([]);
  });

  // Guards against a verdict of an entry that does not know what targets have answered through others.
  it('quarantine no part that another entry saw answered meanwhile', () => {
    const entry = RoutingHarness.createReady();
    const answered = entry.arrive({ sharedPromptParts: ['sound'] });
    entry.receiveHead(answered);
    entry.endResponse(answered);
    entry.advance(100);
    const quarantine = { parts: ['sound'], ageMs: 1_000, leftMs: 60_000, holdMs: 60_000 };
    const promptReport = { evidence: [], cleared: {}, quarantines: [quarantine] };
    entry.dispatch({ type: 'digestReceived', digest: newPeerDigest({ promptReport }) });
    expect(getQuarantined(entry)).toEqual([]);
    entry.advance(1_000);
    const told = entry.effects.flatMap((effect) =>
      effect.type === 'sendDigest' ? [effect.digest.promptReport?.cleared.sound] : [],
    );
    expect(told.some((ageMs) => ageMs !== undefined)).toBe(true);
  });
});
