import type { PeerDigest } from '@parsleyhall/routing';
import type { Sender } from './codec/sender.js';

/** Sends an entry's digests. */
export interface FrameWriter {
  /** Sends the digest, unless its content has just been sent. */
  readonly send: (digest: PeerDigest) => void;
  /** Sends the latest digest again, directly to every entry, with what this entry needs of them now. */
  readonly sendAgainToAll: () => void;
  /** Sends the latest digest again, directly to one entry of another data centre. */
  readonly sendAgainTo: (receiver: Sender) => void;
}
