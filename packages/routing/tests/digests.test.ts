import { describe, expect, it } from 'vitest';
import type { PeerDigest } from '../src/index.js';
import { newPeerDigest } from './support/newPeerDigest.js';
import { RoutingHarness } from './support/routingHarness.js';

const PERIOD_MS = 2_000;

const createEntryWithPeers = (count: number): RoutingHarness => {
  const entry = RoutingHarness.createReady();
  hearAll(entry, count, 1);
  return entry;
};

const hearAll = (entry: RoutingHarness, count: number, sequence: number): void => {
  for (let peer = 0; peer < count; peer += 1) {
    entry.dispatch({
      type: 'digestReceived',
      digest: newPeerDigest({ host: `peer-${peer}`, sequence }),
    });
  }
};

const countDigests = (entry: RoutingHarness): number =>
  entry.effects.filter(({ type }) => type === 'sendDigest').length;

/** Datagrams that the entry sends in the period to all others together. */
const countDatagrams = (peers: number): number => {
  const entry = createEntryWithPeers(peers);
  for (let elapsedMs = 0; elapsedMs < PERIOD_MS; elapsedMs += 500) {
    entry.advance(500);
    hearAll(entry, peers, elapsedMs + 2);
  }
  return countDigests(entry) * peers;
};

describe('the digests of an entry', () => {
  it('are sent at every tick to a few entries', () => {
    expect(countDatagrams(5)).toBe((PERIOD_MS / 50) * 5);
  });

  it.each([27, 67, 329])('cost about the same with %i other entries', (peers) => {
    expect(countDatagrams(peers)).toBeLessThanOrEqual(400 * (PERIOD_MS / 1_000) + peers);
    expect(countDatagrams(peers)).toBeGreaterThan(0);
  });

  it('announce a planned stop at the next tick', () => {
    const entry = createEntryWithPeers(329);
    entry.advance(50);
    const before = countDigests(entry);
    entry.dispatch({ type: 'drainStarted' });
    entry.advance(50);
    expect(countDigests(entry)).toBe(before + 1);
  });

  it('may be lost several times in a row before the entry counts as lost', () => {
    const entry = createEntryWithPeers(329);
    hearAll(entry, 329, 2);
    entry.advance(3_000);
    const countLost = (): number =>
      entry.effects.filter((effect) => effect.type === 'observe' && effect.name === 'peerLost')
        .length;
    expect(countLost()).toBe(0);
    entry.advance(500);
    expect(countLost()).toBe(329);
  });
});

describe('the requests that other entries have in flight', () => {
  const hear = (entry: RoutingHarness, changes: Partial<PeerDigest>): void => {
    entry.dispatch({ type: 'digestReceived', digest: newPeerDigest(changes) });
  };
  const getTarget = (entry: RoutingHarness): string => entry.getLastSend(entry.arrive()).targetId;

  it('are replaced by the next digest of the same entry', () => {
    const entry = RoutingHarness.createReady();
    hear(entry, { host: 'a', inFlight: { 'target-0': 1 } });
    hear(entry, { host: 'b', inFlight: { 'target-0': 1 } });
    expect(getTarget(entry)).toBe('target-1');
    hear(entry, { host: 'a', sequence: 2, inFlight: { 'target-1': 1 } });
    expect(getTarget(entry)).toBe('target-0');
  });

  it('no longer count once the entry is lost, and count again when it returns', () => {
    const entry = RoutingHarness.createReady();
    hear(entry, { inFlight: { 'target-0': 2, 'target-1': 2 } });
    const waiting = entry.arrive();
    expect(entry.getSends(waiting)).toHaveLength(0);
    entry.advance(1_050);
    expect(entry.getSends(waiting)).toHaveLength(1);
    hear(entry, { sequence: 2, inFlight: { 'target-0': 2, 'target-1': 2 } });
    expect(entry.getSends(entry.arrive())).toHaveLength(0);
  });

  it('are added up when a digest arrives, not for each request', () => {
    const entry = RoutingHarness.createReady();
    let reads = 0;
    const inFlight = new Proxy<Record<string, number>>(
      { 'target-0': 1 },
      {
        get: (counts, name) => {
          reads += 1;
          return typeof name === 'string' ? counts[name] : undefined;
        },
      },
    );
    for (let peer = 0; peer < 67; peer += 1) {
      hear(entry, { host: `peer-${peer}`, inFlight });
    }
    reads = 0;
    entry.arrive();
    entry.advance(50);
    expect(reads).toBe(0);
  });
});
