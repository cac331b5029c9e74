import type { PeerDigest } from '@parsleyhall/routing';

/** Exchanges digests with the other entries. */
export interface PeerLink extends AsyncDisposable {
  /** Sends a digest to all known addresses. */
  readonly send: (digest: PeerDigest) => void;
  /** Adds IP addresses at which other entries may be running; digests are sent to them, too. */
  readonly addAddresses: (addresses: readonly string[]) => void;
}
