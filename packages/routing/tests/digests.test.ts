import { describe, expect, it } from 'vitest';
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
