import type { PeerDigest } from './peerDigest.js';

/** Another entry as it was last heard. */
export interface Peer {
  readonly digest: PeerDigest;
  readonly heardMs: number;
  /** Its silence has been told. */
  readonly isLost: boolean;
}
