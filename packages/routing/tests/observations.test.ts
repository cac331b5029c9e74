import { describe, expect, it } from 'vitest';
import { OBSERVATIONS, OBSERVED_FIELDS } from '../src/index.js';
import type { Observation, RoutingEffect } from '../src/index.js';
import { newConfiguration } from './support/newConfiguration.js';
import { newPeerDigest } from './support/newPeerDigest.js';
import { newRoute } from './support/newRoute.js';
import { newTargets } from './support/newTargets.js';
import { NOT_RUN_HEAD } from './support/notRunHead.js';
import { RoutingHarness } from './support/routingHarness.js';

const getLines = (entry: RoutingHarness): readonly Observation[] =>
  entry.effects.filter((effect: RoutingEffect): effect is Observation => effect.type === 'observe');

const getNames = (entry: RoutingHarness): readonly string[] =>
  getLines(entry).map(({ name }) => name);

const count = (entry: RoutingHarness, name: string): number =>
  getNames(entry).filter((other) => other === name).length;

describe('lines about what an entry believes', () => {
  it('tell once of each other entry that is heard, lost and heard again', () => {
    const entry = RoutingHarness.ready();
    entry.run({ type: 'digestReceived', digest: newPeerDigest({ sequence: 1 }) });
    entry.run({ type: 'digestReceived', digest: newPeerDigest({ sequence: 2 }) });
    expect(count(entry, 'peerHeard')).toBe(1);
    entry.pass(3_000);
    expect(count(entry, 'peerLost')).toBe(1);
    entry.run({ type: 'digestReceived', digest: newPeerDigest({ sequence: 3 }) });
    expect(count(entry, 'peerHeard')).toBe(2);
  });

  it('tell of each target that comes, changes or goes, and of no other', () => {
    const entry = new RoutingHarness();
    const [first, second] = newTargets(2);
    if (first === undefined || second === undefined) {
      throw new Error('no targets');
    }
    entry.run({ type: 'targetsListed', targets: [first, second] });
    entry.run({ type: 'targetsListed', targets: [{ ...first, isLeaving: true }, second] });
    entry.run({ type: 'targetsListed', targets: [second] });
    expect(getNames(entry)).toEqual(['targetListed', 'targetListed', 'targetListed', 'targetGone']);
  });

  it('tell of a target that rests, once for each rest', () => {
    const entry = RoutingHarness.ready(newConfiguration(), newTargets(1, { slots: 4 }));
    const [first, second] = [entry.arrive(), entry.arrive()];
    entry.begin(first, NOT_RUN_HEAD);
    entry.begin(second, NOT_RUN_HEAD);
    expect(count(entry, 'targetRests')).toBe(1);
  });
});

describe('lines about a request', () => {
  it('tell why it waits and why it was refused, with what decided it', () => {
    const entry = RoutingHarness.ready(newConfiguration(), newTargets(1, { slots: 1 }));
    const requests = Array.from({ length: 60 }, () => entry.arrive());
    const ofRequest = (requestId: number | undefined): readonly Observation[] =>
      getLines(entry).filter(
        ({ fields }) => 'requestId' in fields && fields.requestId === requestId,
      );
    expect(ofRequest(requests[1])).toMatchObject([
      { name: 'requestQueued', fields: { ahead: 0, waitMs: 100, version: 1 } },
    ]);
    expect(ofRequest(requests.at(-1))).toMatchObject([
      { name: 'requestRefused', fields: { reason: 'overloaded', mayHaveRun: false } },
    ]);
  });
});

describe('the line of a whole answer', () => {
  it('has the status, the time of the first event and the longest pause after it', () => {
    const entry = RoutingHarness.ready(
      newConfiguration({ routes: [newRoute({ kind: 'stream' })] }),
      newTargets(1),
    );
    const requestId = entry.arrive();
    const { sendId } = entry.lastSendOf(requestId);
    entry.begin(requestId);
    for (const pauseMs of [300, 50, 450, 100]) {
      entry.pass(pauseMs);
      entry.run({ type: 'answerWentOn', requestId, sendId });
    }
    entry.end(requestId, 4);
    expect(getLines(entry).at(-1)).toMatchObject({
      name: 'requestAnswered',
      fields: { targetStatus: 200, events: 4, firstMs: 300, longestGapMs: 450, ageMs: 900 },
    });
  });
});

describe('every line', () => {
  it('has the fields of the catalogue, of their types, and no other', () => {
    const entry = RoutingHarness.ready(newConfiguration(), newTargets(2, { slots: 1 }));
    entry.run({ type: 'digestReceived', digest: newPeerDigest({ sequence: 1 }) });
    const requests = Array.from({ length: 80 }, () => entry.arrive({ attemptId: 'a' }));
    entry.arrive({ key: 'unknown' });
    entry.fail(requests[0] ?? 0);
    entry.begin(requests[1] ?? 0, NOT_RUN_HEAD);
    entry.pass(12_000);
    entry.wallOffsetMs = 5_000;
    entry.run({ type: 'ticked' });
    const names = new Set(getNames(entry));
    expect(names.size).toBeGreaterThan(8);
    for (const { name, fields } of getLines(entry)) {
      const kind = OBSERVATIONS[name];
      const allowed = new Set<string>([...kind.fields, ...kind.optional]);
      const given = Object.entries(fields);
      expect(given.filter(([field]) => !allowed.has(field))).toEqual([]);
      const missing = kind.fields.filter((field) => !(field in fields));
      expect([name, missing]).toEqual([name, []]);
      const types = new Map<string, string>(
        Object.entries(OBSERVED_FIELDS).map(([field, { type }]) => [field, type]),
      );
      expect(given.filter(([field, value]) => typeof value !== types.get(field))).toEqual([]);
    }
  });
});
