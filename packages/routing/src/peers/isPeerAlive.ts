import type { Peer } from './peer.js';

/** Whether the entry has been heard from within the timeout. */
export const isPeerAlive = (peer: Peer, nowMs: number): boolean =>
  nowMs - peer.lastHeardAtMs < peer.timeoutMs;
