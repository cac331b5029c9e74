import { createSocket } from 'node:dgram';
import type { PeerDigest } from '@parsleyhall/routing';
import type { PeerLink } from './peerLink.js';
import { readDigest } from './readDigest.js';

/** A digest like the one before goes out again after this time, in milliseconds. */
const UNCHANGED_PERIOD_MS = 250;

const getContent = ({ sequence: _, ...content }: PeerDigest): string => JSON.stringify(content);

/**
 * Starts the exchange of digests by datagrams: each is whole, so that none needs to arrive, and no connection can go
 * silent.
 */
export const startPeerLink = async ({
  ip,
  port,
  takeDigest,
  noteFailure,
  getNowMs,
}: {
  readonly ip: string;
  readonly port: number;
  readonly takeDigest: (digest: PeerDigest) => void;
  readonly noteFailure: (failure: string) => void;
  readonly getNowMs: () => number;
}): Promise<PeerLink> => {
  const known = new Set<string>();
  let lastContent = '';
  let lastMs = -Infinity;

  const addAddresses = (addresses: readonly string[]): void => {
    addresses.filter((address) => address !== ip).forEach((address) => known.add(address));
  };

  const socket = createSocket('udp4');
  socket.on('message', (bytes, { address }) => {
    const message = readDigest(bytes);
    if (message === undefined) {
      noteFailure(`no digest from ${address}`);
      return;
    }
    addAddresses([address, ...message.known]);
    takeDigest(message.digest);
  });
  socket.on('error', (error) => {
    noteFailure(error.message);
  });
  await new Promise<void>((resolve) => {
    socket.bind({ address: ip, port }, resolve);
  });

  return {
    addAddresses,
    send: (digest) => {
      const content = getContent(digest);
      const nowMs = getNowMs();
      if (content === lastContent && nowMs - lastMs < UNCHANGED_PERIOD_MS) {
        return;
      }
      lastContent = content;
      lastMs = nowMs;
      const bytes = Buffer.from(JSON.stringify({ digest, known: [...known] }));
      known.forEach((address) => {
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
