import type { PeerDigest } from '@parsleyhall/routing';
import type { UnreadableDatagram } from './codec/unreadableDatagram.js';

/** What the exchange of digests needs of the process around it. */
export interface PeerExchangeContext {
  readonly host: string;
  readonly dataCentre: string;
  /** This entry's own IP address. */
  readonly ip: string;
  readonly transmit: (bytes: Uint8Array, address: string) => void;
  /** Runs the action after the delay in milliseconds; returns a function that cancels it. */
  readonly schedule: (delayMs: number, action: () => void) => () => void;
  readonly handleDigest: (digest: PeerDigest) => void;
  readonly reportUnreadable: (reason: UnreadableDatagram, address: string) => void;
  /** Counts bytes of datagrams; the data centre is that of the other entry and undefined while it is not known. */
  readonly countBytes: (
    direction: 'sent' | 'received',
    bytes: number,
    dataCentre: string | undefined,
  ) => void;
  readonly getNowMs: () => number;
}
