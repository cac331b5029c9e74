import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import type { Relay } from './relay.js';

interface RelaySettings {
  /** IP address and port to relay to. */
  readonly target: string;
  /** Delay of each direction, in milliseconds. */
  readonly delayMs: number;
  /** True when the relay is to refuse connections for good once its target does, as the target's own address would. */
  readonly endsWithTarget?: boolean | undefined;
}

const LOOPBACK = '127.0.0.1';
const HIGH_WATER_BYTES = 4_194_304;

const forward = (from: Socket, to: Socket, delayMs: number): void => {
  const later = (step: () => void): void => {
    if (delayMs > 0) {
      setTimeout(step, delayMs);
    } else {
      step();
    }
  };
  from.on('data', (bytes: Buffer) => {
    later(() => {
      to.write(bytes);
      if (to.writableLength > HIGH_WATER_BYTES) {
        from.pause();
        to.once('drain', () => from.resume());
      }
    });
  });
  from.on('end', () => {
    later(() => to.end());
  });
  from.on('close', () => {
    later(() => to.destroy());
  });
};

/** Starts a TCP relay on the loopback address that delays every byte by a fixed time. */
export const startRelay = async ({
  target,
  delayMs,
  endsWithTarget = false,
}: RelaySettings): Promise<Relay> => {
  const [host = LOOPBACK, port = '0'] = target.split(':');
  const sockets = new Set<Socket>();
  let isCut = false;

  const track = (socket: Socket): void => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
  };

  const server = createServer({ allowHalfOpen: true }, (caller) => {
    track(caller);
    if (isCut) {
      caller.destroy();
      return;
    }
    const called = connect({ host, port: Number(port), allowHalfOpen: true });
    track(called);
    called.once('error', (error: NodeJS.ErrnoException) => {
      if (endsWithTarget && error.code === 'ECONNREFUSED') {
        server.close();
      }
    });
    forward(caller, called, delayMs);
    forward(called, caller, delayMs);
  });
  server.listen(0, LOOPBACK);
  await once(server, 'listening');

  const cut = (): void => {
    isCut = true;
    sockets.forEach((socket) => socket.destroy());
  };

  return {
    address: `${LOOPBACK}:${(server.address() as AddressInfo).port}`,
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
