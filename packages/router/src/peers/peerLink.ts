import type { PeerDigest } from '@parsleyhall/routing';

/** Carries digests between entries. */
export interface PeerLink extends AsyncDisposable {
  readonly send: (digest: PeerDigest) => void;
  /** Entries that may be there, by IP address; they are told of this one. */
  readonly addAddresses: (addresses: readonly string[]) => void;
}
