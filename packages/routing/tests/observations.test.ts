import { describe, expect, it } from 'vitest';
import { OBSERVATIONS, OBSERVED_FIELDS } from '../src/index.js';
import type { Observation, RoutingEffect } from '../src/index.js';
import { newConfiguration } from './support/newConfiguration.js';
import { newPeerDigest } from './support/newPeerDigest.js';
import { newRoute } from './support/newRoute.js';
import { newTargets } from './support/newTargets.js';
import { NOT_RUN_HEAD } from './support/notRunHead.js';
import { RoutingHarness } from './support/routingHarness.js';

const getObservations = (entry: RoutingHarness): readonly Observation[] =>
  entry.effects.filter((effect: RoutingEffect): effect is Observation => effect.type === 'observe');

const getObservationNames = (entry: RoutingHarness): readonly string[] =>
  getObservations(entry).map(({ name }) => name);

const countObservations = (entry: RoutingHarness, name: string): number =>
  getObservationNames(entry).filter((other) => other === name).length;

describe('log events about peers and targets', () => {
  it('report each other entry once when it is heard, lost and heard again', () => {
    const entry = RoutingHarness.createReady();
    entry.dispatch({ type: 'digestReceived', digest: newPeerDigest({ sequence: 1 }) });
    entry.dispatch({ type: 'digestReceived', digest: newPeerDigest({ sequence: 2 }) });
    expect(countObservations(entry, 'peerHeard')).toBe(1);
    entry.advance(3_000);
    expect(countObservations(entry, 'peerLost')).toBe(1);
    entry.dispatch({ type: 'digestReceived', digest: newPeerDigest({ sequence: 3 }) });
    expect(countObservations(entry, 'peerHeard')).toBe(2);
  });

  it('report each target that is added, changed or removed, and no other', () => {
    const entry = new RoutingHarness();
    const [first, second] = newTargets(2);
    if (first === undefined || second === undefined) {
      throw new Error('no targets');
    }
    entry.dispatch({ type: 'targetsListed', targets: [first, second] });
    entry.dispatch({ type: 'targetsListed', targets: [{ ...first, isLeaving: true }, second] });
    entry.dispatch({ type: 'targetsListed', targets: [second] });
    expect(getObservationNames(entry)).toEqual([
      'targetListed',
      'targetListed',
      'targetListed',
      'targetGone',
    ]);
  });

  it('report a target on cooldown once per cooldown', () => {
    const entry = RoutingHarness.createReady(newConfiguration(), newTargets(1, { slots: 4 }));
    const [first, second] = [entry.arrive(), entry.arrive()];
    entry.receiveHead(first, NOT_RUN_HEAD);
    entry.receiveHead(second, NOT_RUN_HEAD);
    expect(countObservations(entry, 'targetRests')).toBe(1);
  });
});

describe('log events about a request', () => {
  it('report why it waits or was refused, with the inputs of the decision', () => {
    const entry = RoutingHarness.createReady(newConfiguration(), newTargets(1, { slots: 1 }));
    const requests = Array.from({ length: 60 }, () => entry.arrive());
    const getObservationsOf = (requestId: number | undefined): readonly Observation[] =>
      getObservations(entry).filter(
        ({ fields }) => 'requestId' in fields && fields.requestId === requestId,
      );
    expect(getObservationsOf(requests[1])).toMatchObject([
      { name: 'requestQueued', fields: { ahead: 0, waitMs: 100, version: 1 } },
    ]);
    expect(getObservationsOf(requests.at(-1))).toMatchObject([
      { name: 'requestRefused', fields: { reason: 'overloaded', mayHaveRun: false } },
    ]);
  });
});

describe('the log event of a complete response', () => {
  it('has the status, the time to the first event and the longest pause after it', () => {
    const entry = RoutingHarness.createReady(
      newConfiguration({ routes: [newRoute({ kind: 'stream' })] }),
      newTargets(1),
    );
    const requestId = entry.arrive();
    const { sendId } = entry.getLastSend(requestId);
    entry.receiveHead(requestId);
    for (const pauseMs of [300, 50, 450, 100]) {
      entry.advance(pauseMs);
      entry.dispatch({ type: 'responseProgressed', requestId, sendId });
    }
    entry.endResponse(requestId, 4);
    expect(getObservations(entry).at(-1)).toMatchObject({
      name: 'requestAnswered',
      fields: { targetStatus: 200, events: 4, firstMs: 300, longestGapMs: 450, ageMs: 900 },
    });
  });
});

describe('every log event', () => {
  it('has exactly the fields of the catalogue, with their types', () => {
    const entry = RoutingHarness.createReady(newConfiguration(), newTargets(2, { slots: 1 }));
    entry.dispatch({ type: 'digestReceived', digest: newPeerDigest({ sequence: 1 }) });
    const requests = Array.from({ length: 80 }, () => entry.arrive({ attemptId: 'a' }));
    entry.arrive({ key: 'unknown' });
    entry.failSend(requests[0] ?? 0);
    entry.receiveHead(requests[1] ?? 0, NOT_RUN_HEAD);
    entry.advance(12_000);
    entry.wallOffsetMs = 5_000;
    entry.dispatch({ type: 'ticked' });
    const names = new Set(getObservationNames(entry));
    expect(names.size).toBeGreaterThan(8);
    for (const { name, fields } of getObservations(entry)) {
      const definition = OBSERVATIONS[name];
      const allowed = new Set<string>([...definition.fields, ...definition.optional]);
      const given = Object.entries(fields);
      expect(given.filter(([field]) => !allowed.has(field))).toEqual([]);
      const missing = definition.fields.filter((field) => !(field in fields));
      expect([name, missing]).toEqual([name, []]);
      const types = new Map<string, string>(
        Object.entries(OBSERVED_FIELDS).map(([field, { type }]) => [field, type]),
      );
      expect(given.filter(([field, value]) => typeof value !== types.get(field))).toEqual([]);
    }
  });
});
