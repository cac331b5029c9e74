import type { Peer } from './peer.js';
import { isPeerHeard } from './isPeerHeard.js';

/**
 * The part of each quota that this entry may count on: all of it while every known entry is heard, less the parts of
 * those that are silent, since they may be cut off and go on.
 */
export const getQuotaShare = (peers: readonly Peer[], nowMs: number): number => {
  const staying = peers.filter(({ digest }) => !digest.isLeaving);
  const heard = staying.filter((peer) => isPeerHeard(peer, nowMs));
  return (heard.length + 1) / (staying.length + 1);
};
