import type { PeerDigest } from './peerDigest.js';

/** Another entry, as of its latest digest. */
export interface Peer {
  readonly digest: PeerDigest;
  readonly lastHeardAtMs: number;
  /** How long it may be silent before it counts as lost. */
  readonly timeoutMs: number;
  /** It has been silent for longer than its timeout; its requests in flight are no longer counted. */
  readonly isLost: boolean;
  /** It has been silent for so long that it has most likely been replaced; see `markDepartedPeers`. */
  readonly isDeparted?: true;
}
