import type { PeerDigest } from '@parsleyhall/routing';

/** Sends and receives digests; has no socket and no timer of its own. */
export interface PeerExchange extends Disposable {
  /** Sends a digest to the other entries, unless its content has just been sent. */
  readonly send: (digest: PeerDigest) => void;
  /** Handles a datagram from another entry. */
  readonly receive: (bytes: Uint8Array, address: string) => void;
  /** Adds IP addresses at which other entries may be running. */
  readonly addAddresses: (addresses: readonly string[]) => void;
}
