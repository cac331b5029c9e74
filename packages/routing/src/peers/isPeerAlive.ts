import type { Peer } from './peer.js';

/** Several digest periods, so that a single lost digest does not matter. */
const PEER_TIMEOUT_MS = 1_000;

/** Whether the entry has been heard from within the timeout. */
export const isPeerAlive = (peer: Peer, nowMs: number): boolean =>
  nowMs - peer.lastHeardAtMs < PEER_TIMEOUT_MS;
