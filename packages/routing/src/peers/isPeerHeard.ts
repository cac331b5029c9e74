import type { Peer } from './peer.js';

/** Several periods of the digests, so that a lost one does not count. */
const SILENCE_MS = 1_000;

/** Whether the entry is heard from now. */
export const isPeerHeard = (peer: Peer, nowMs: number): boolean =>
  nowMs - peer.heardMs < SILENCE_MS;
