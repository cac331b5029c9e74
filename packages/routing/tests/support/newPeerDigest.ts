import type { PeerDigest } from '../../src/index.js';

/** What an idle entry tells. */
export const newPeerDigest = (changes: Partial<PeerDigest> = {}): PeerDigest => ({
  host: 'other',
  incarnation: 1,
  sequence: 1,
  inFlight: {},
  quotaTaken: {},
  quotaRecent: {},
  tellsRecent: false,
  knowsWindow: false,
  isLeaving: false,
  ...changes,
});
