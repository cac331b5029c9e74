import type { PeerDigest } from '@parsleyhall/routing';

/** Exchanges digests with the other entries. */
export interface PeerLink extends AsyncDisposable {
  /** Sends a digest to the other entries, directly or through one of their data centre. */
  readonly send: (digest: PeerDigest) => void;
  /** Adds IP addresses at which other entries may be running. */
  readonly addAddresses: (addresses: readonly string[]) => void;
}
