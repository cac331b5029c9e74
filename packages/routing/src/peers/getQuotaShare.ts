import type { Peer } from './peer.js';
import { isPeerAlive } from './isPeerAlive.js';

/**
 * The share of each quota that this entry may rely on: all of it while every known entry is alive, less the shares of
 * silent entries, since those may be partitioned from this one and still be serving.
 */
export const getQuotaShare = (peers: readonly Peer[], nowMs: number): number => {
  const active = peers.filter(({ digest }) => !digest.isLeaving);
  const alive = active.filter((peer) => isPeerAlive(peer, nowMs));
  return (alive.length + 1) / (active.length + 1);
};
