import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { splitAddress } from '@parsleyhall/common';
import { getNowMs } from './getNowMs.js';
import type { PathState } from './pathState.js';
import { watchServer } from './watchServer.js';

const DELAY_MS = 120;
const RELEASE_CHECK_MS = 10;

/** For so long after a path is open again it is still taken for harmed. */
const SETTLED_AFTER_MS = 3_000;

interface Path extends AsyncDisposable {
  readonly address: string;
  /** It is not open, or was not lately. */
  readonly isHarmed: () => boolean;
  /** The earliest moment at which the latest bytes may have come that went on from this local port. */
  readonly getEarliestMs: (localPort: number | undefined) => number;
  readonly setState: (state: PathState) => void;
}

/** Starts a path to an address; what a silent one holds is lost where its sender leaves. */
export const startPath = async (target: string): Promise<Path> => {
  const sockets = new Set<Socket>();
  /** By the local port of the connection to the target; kept beyond its end, since the target may read later. */
  const earliest = new Map<number, () => number>();
  let state: PathState = 'open';
  let openSinceMs = -Infinity;

  const hand = (from: Socket, to: Socket, bytes: Buffer, notBeforeMs: number): void => {
    if (from.destroyed || to.destroyed) {
      return;
    }
    if (state === 'silent' || getNowMs() < notBeforeMs) {
      setTimeout(() => {
        hand(from, to, bytes, notBeforeMs);
      }, RELEASE_CHECK_MS);
      return;
    }
    to.write(bytes);
    from.resume();
  };

  const join = (from: Socket, to: Socket, leave: () => void, noteRead: () => void): void => {
    sockets.add(from);
    from.on('error', () => undefined);
    from.on('data', (bytes) => {
      noteRead();
      from.pause();
      hand(from, to, bytes, state === 'delayed' ? getNowMs() + DELAY_MS : 0);
    });
    from.once('close', () => {
      sockets.delete(from);
      leave();
    });
  };

  const server = createServer((near) => {
    if (state === 'reset') {
      near.resetAndDestroy();
      return;
    }
    const { address: host, port } = splitAddress(target);
    const far = connect({ host, port, noDelay: true });
    near.setNoDelay(true);
    // What a sender that has left was held is lost; what a target has answered still arrives.
    let earliestMs = watch.getEarliestMs(near);
    far.once('connect', () => {
      if (far.localPort !== undefined) {
        earliest.set(far.localPort, () => earliestMs);
      }
    });
    join(
      near,
      far,
      () => far.destroy(),
      () => {
        earliestMs = watch.getEarliestMs(near);
      },
    );
    join(
      far,
      near,
      () => near.end(),
      () => undefined,
    );
  });
  const watch = watchServer(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    isHarmed: () => state !== 'open' || getNowMs() - openSinceMs < SETTLED_AFTER_MS,
    getEarliestMs: (localPort) => earliest.get(localPort ?? 0)?.() ?? Infinity,
    setState: (next) => {
      state = next;
      openSinceMs = getNowMs();
      if (next === 'reset') {
        sockets.forEach((socket) => socket.resetAndDestroy());
      }
    },
    [Symbol.asyncDispose]: async () => {
      sockets.forEach((socket) => socket.destroy());
      watch[Symbol.dispose]();
      server.close();
      await once(server, 'close');
    },
  };
};
