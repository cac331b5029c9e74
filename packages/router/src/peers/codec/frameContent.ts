import type { PeerDigest } from '@parsleyhall/routing';
import type { ReceptionReport } from '../delivery/receptionReport.js';

/** The digest of a frame and what its sender needs of the others. */
export interface FrameContent extends ReceptionReport {
  readonly digest: PeerDigest;
  /** IP addresses of entries that the sender knows. */
  readonly knownAddresses: readonly string[];
  /** Whether the sender received hashes of names that it does not know. */
  readonly lacksNames: boolean;
}
