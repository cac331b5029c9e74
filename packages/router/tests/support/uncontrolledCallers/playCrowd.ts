import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** So many callers connect at a time, unless the crowd says otherwise. */
const BATCH_SIZE = 20;
/** After so long without a complete write, a router is taken to have stopped reading from a caller. */
const WRITE_TIMEOUT_MS = 3_000;

const openCaller = (address: string, isReading: boolean): Promise<Socket> =>
  new Promise((resolve) => {
    const [host = '', port = ''] = address.split(':');
    // A caller of a crowd never closes its side by itself.
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    socket.on('error', () => undefined);
    socket.once('connect', () => {
      resolve(socket);
    });
    socket.once('close', () => {
      resolve(socket);
    });
    if (isReading) {
      socket.resume();
    } else {
      socket.pause();
    }
  });

const write = (socket: Socket, bytes: Buffer): Promise<void> =>
  new Promise((resolve) => {
    if (socket.destroyed) {
      resolve();
      return;
    }
    const finish = (): void => {
      clearTimeout(timer);
      socket.removeListener('close', finish);
      resolve();
    };
    const timer = setTimeout(finish, WRITE_TIMEOUT_MS);
    socket.once('close', finish);
    socket.write(bytes, finish);
  });

/**
 * Opens connections to a router that each write these parts, as far as they are read, and stay open during the check.
 */
export const playCrowd = async (
  {
    address,
    callers,
    parts,
    isReading,
    batchSize = BATCH_SIZE,
  }: {
    readonly address: string;
    readonly callers: number;
    readonly parts: readonly Buffer[];
    readonly isReading: boolean;
    readonly batchSize?: number;
  },
  check: (crowd: { readonly countOpen: () => number }) => Promise<void>,
): Promise<void> => {
  const sockets: Socket[] = [];
  /** The connections that the router has closed or ended. */
  const closed = new Set<Socket>();
  const play = async (): Promise<void> => {
    const socket = await openCaller(address, isReading);
    sockets.push(socket);
    const recordClosed = (): void => {
      closed.add(socket);
    };
    socket.once('end', recordClosed);
    socket.once('close', recordClosed);
    if (socket.destroyed) {
      recordClosed();
    }
    for (const part of parts) {
      await write(socket, part);
    }
  };
  for (let started = 0; started < callers; started += batchSize) {
    const batch = Math.min(batchSize, callers - started);
    await Promise.all(Array.from({ length: batch }, play));
  }
  try {
    await check({ countOpen: () => callers - closed.size });
  } finally {
    sockets.forEach((socket) => {
      socket.destroy();
    });
  }
};
