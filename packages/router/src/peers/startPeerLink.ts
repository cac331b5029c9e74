import { createSocket } from 'node:dgram';
import type { PeerDigest } from '@parsleyhall/routing';
import type { PeerLink } from './peerLink.js';
import { parseDigest } from './parseDigest.js';

/** An unchanged digest is sent again after this time. */
const UNCHANGED_RESEND_MS = 250;

/** Addresses of other entries that one digest names; the next digest names the next ones. */
const ADDRESSES_PER_DIGEST = 8;

const serializeContent = ({ sequence: _, ...content }: PeerDigest): string =>
  JSON.stringify(content);

/**
 * Starts the exchange of digests over UDP. Each digest is complete, so that lost ones need no retransmission, and there is
 * no connection that can go silent.
 */
export const startPeerLink = async ({
  ip,
  port,
  handleDigest,
  reportFailure,
  getNowMs,
}: {
  /** This entry's own IP address. */
  readonly ip: string;
  readonly port: number;
  readonly handleDigest: (digest: PeerDigest) => void;
  readonly reportFailure: (failure: string) => void;
  readonly getNowMs: () => number;
}): Promise<PeerLink> => {
  const knownAddresses = new Set<string>();
  let nextAddressIndex = 0;
  let lastSentContent = '';
  let lastSentAtMs = -Infinity;

  const addAddresses = (addresses: readonly string[]): void => {
    addresses.filter((address) => address !== ip).forEach((address) => knownAddresses.add(address));
  };

  const takeNextAddresses = (): readonly string[] => {
    const addresses = [...knownAddresses];
    const next = [...addresses, ...addresses].slice(
      nextAddressIndex,
      nextAddressIndex + Math.min(ADDRESSES_PER_DIGEST, addresses.length),
    );
    nextAddressIndex = (nextAddressIndex + next.length) % Math.max(1, addresses.length);
    return next;
  };

  const socket = createSocket('udp4');
  socket.on('message', (bytes, { address }) => {
    const message = parseDigest(bytes);
    if (message === undefined) {
      reportFailure(`malformed digest from ${address}`);
      return;
    }
    addAddresses([address, ...message.knownAddresses]);
    handleDigest(message.digest);
  });
  socket.on('error', (error) => {
    reportFailure(error.message);
  });
  await new Promise<void>((resolve) => {
    socket.bind({ address: ip, port }, resolve);
  });

  return {
    addAddresses,
    send: (digest) => {
      const content = serializeContent(digest);
      const nowMs = getNowMs();
      if (content === lastSentContent && nowMs - lastSentAtMs < UNCHANGED_RESEND_MS) {
        return;
      }
      lastSentContent = content;
      lastSentAtMs = nowMs;
      const bytes = Buffer.from(JSON.stringify({ digest, known: takeNextAddresses() }));
      knownAddresses.forEach((address) => {
        socket.send(bytes, port, address, () => undefined);
      });
    },
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        socket.close(() => {
          resolve();
        });
      }),
  };
};
