import type { PeerDigest } from './peerDigest.js';

/** Another entry, as of its latest digest. */
export interface Peer {
  readonly digest: PeerDigest;
  readonly lastHeardAtMs: number;
  /** How long it may be silent before it counts as lost. */
  readonly timeoutMs: number;
  /** It has been silent for longer than its timeout; its requests in flight are no longer counted. */
  readonly isLost: boolean;
}
