import { createSocket } from 'node:dgram';
import { createPeerExchange } from './createPeerExchange.js';
import type { SocketOptions } from 'node:dgram';
import type { PeerExchangeContext } from './peerExchangeContext.js';
import type { PeerLink } from './peerLink.js';

const schedule: PeerExchangeContext['schedule'] = (delayMs, action) => {
  const timer = setTimeout(action, delayMs);
  return () => {
    clearTimeout(timer);
  };
};

/** All addresses are numeric; the default lookup defers each send. */
const passAddress: SocketOptions['lookup'] = (address, _options, callback) => {
  callback(null, address, 4);
};

/** Starts the exchange of digests over UDP; there is no connection that can go silent. */
export const startPeerLink = async ({
  port,
  reportSocketError,
  ...context
}: Omit<PeerExchangeContext, 'transmit' | 'schedule'> & {
  readonly port: number;
  readonly reportSocketError: (error: Error) => void;
}): Promise<PeerLink> => {
  const socket = createSocket({ type: 'udp4', lookup: passAddress });
  const exchange = createPeerExchange({
    ...context,
    schedule,
    transmit: (bytes, address) => {
      socket.send(bytes, port, address, () => undefined);
    },
  });
  socket.on('message', (bytes, { address }) => {
    // Views of a plain array cost less than views of a Buffer.
    exchange.receive(new Uint8Array(bytes.buffer, bytes.byteOffset, bytes.length), address);
  });
  socket.on('error', reportSocketError);
  await new Promise<void>((resolve) => {
    socket.bind({ address: context.ip, port }, resolve);
  });

  return {
    addAddresses: exchange.addAddresses,
    send: exchange.send,
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        exchange[Symbol.dispose]();
        socket.close(() => {
          resolve();
        });
      }),
  };
};
