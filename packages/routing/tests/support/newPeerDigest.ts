import type { PeerDigest } from '../../src/index.js';

/** The digest of an idle entry. */
export const newPeerDigest = (changes: Partial<PeerDigest> = {}): PeerDigest => ({
  host: 'other',
  incarnation: 1,
  sequence: 1,
  configurationVersion: 0,
  inFlight: {},
  quotaTaken: {},
  quotaRecent: {},
  tellsRecent: false,
  knowsWindow: false,
  isLeaving: false,
  ...changes,
});
