import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import type { Relay } from './relay.js';

interface RelaySettings {
  /** IP address and port to which connections are relayed. */
  readonly target: string;
  /** Delay added in each direction, in milliseconds. */
  readonly delayMs: number;
  /**
   * Closes the listener for good once the target refuses a connection, so that clients are refused
   * as at the target itself.
   */
  readonly endsWithTarget?: boolean | undefined;
}

const LOOPBACK_ADDRESS = '127.0.0.1';
const HIGH_WATER_MARK_BYTES = 4_194_304;

const forward = (from: Socket, to: Socket, delayMs: number): void => {
  const runDelayed = (action: () => void): void => {
    if (delayMs > 0) {
      setTimeout(action, delayMs);
    } else {
      action();
    }
  };
  from.on('data', (bytes: Buffer) => {
    runDelayed(() => {
      to.write(bytes);
      if (to.writableLength > HIGH_WATER_MARK_BYTES) {
        from.pause();
        to.once('drain', () => from.resume());
      }
    });
  });
  from.on('end', () => {
    runDelayed(() => to.end());
  });
  from.on('close', () => {
    runDelayed(() => to.destroy());
  });
};

/** Starts a TCP relay on the loopback address. It delays all data by a fixed time. */
export const startRelay = async ({
  target,
  delayMs,
  endsWithTarget = false,
}: RelaySettings): Promise<Relay> => {
  const [host = LOOPBACK_ADDRESS, port = '0'] = target.split(':');
  const sockets = new Set<Socket>();
  let isCut = false;

  const trackSocket = (socket: Socket): void => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
  };

  const server = createServer({ allowHalfOpen: true }, (client) => {
    trackSocket(client);
    if (isCut) {
      client.destroy();
      return;
    }
    const upstream = connect({ host, port: Number(port), allowHalfOpen: true });
    trackSocket(upstream);
    upstream.once('error', (error: NodeJS.ErrnoException) => {
      if (endsWithTarget && error.code === 'ECONNREFUSED') {
        server.close();
      }
    });
    forward(client, upstream, delayMs);
    forward(upstream, client, delayMs);
  });
  server.listen(0, LOOPBACK_ADDRESS);
  await once(server, 'listening');

  const cut = (): void => {
    isCut = true;
    sockets.forEach((socket) => socket.destroy());
  };

  return {
    address: `${LOOPBACK_ADDRESS}:${(server.address() as AddressInfo).port}`,
    cut,
    heal: () => {
      isCut = false;
    },
    [Symbol.asyncDispose]: async () => {
      const closed = server.listening ? once(server, 'close') : undefined;
      server.close();
      cut();
      await closed;
    },
  };
};
