import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { splitAddress } from '@parsleyhall/common';
import { getNowMs } from './getNowMs.js';
import type { ProxyState } from './proxyState.js';
import { monitorServerReads } from './monitorServerReads.js';

const DELAY_MS = 120;
const RELEASE_CHECK_INTERVAL_MS = 10;

/** A proxy still counts as impaired for this long after it was opened again. */
const RECOVERY_TIME_MS = 3_000;

interface FaultProxy extends AsyncDisposable {
  readonly address: string;
  /** Whether the proxy is not open, or was not open a short time ago. */
  readonly isImpaired: () => boolean;
  /** The earliest moment at which the data last read for the connection with this local port may have arrived. */
  readonly getEarliestArrivalAtMs: (localPort: number | undefined) => number;
  readonly setState: (state: ProxyState) => void;
}

/** Starts a proxy to an address; data that it holds back is lost when either side of its connection closes. */
export const startFaultProxy = async (targetAddress: string): Promise<FaultProxy> => {
  const sockets = new Set<Socket>();
  /** By the local port of the connection to the target; kept after its end, since the target may read the data later. */
  const earliestArrivalByPort = new Map<number, () => number>();
  let state: ProxyState = 'open';
  let stateSetAtMs = -Infinity;

  const forwardBytes = (from: Socket, to: Socket, bytes: Buffer, notBeforeMs: number): void => {
    if (from.destroyed || to.destroyed) {
      return;
    }
    if (state === 'silent' || getNowMs() < notBeforeMs) {
      setTimeout(() => {
        forwardBytes(from, to, bytes, notBeforeMs);
      }, RELEASE_CHECK_INTERVAL_MS);
      return;
    }
    to.write(bytes);
    from.resume();
  };

  const forwardFrom = (
    from: Socket,
    to: Socket,
    handleClose: (hadError: boolean) => void,
    recordRead: () => void,
  ): void => {
    sockets.add(from);
    from.on('error', () => undefined);
    from.on('data', (bytes) => {
      recordRead();
      from.pause();
      forwardBytes(from, to, bytes, state === 'delayed' ? getNowMs() + DELAY_MS : 0);
    });
    from.once('close', (hadError) => {
      sockets.delete(from);
      handleClose(hadError);
    });
  };

  const server = createServer((client) => {
    if (state === 'reset') {
      client.resetAndDestroy();
      return;
    }
    const { address: host, port } = splitAddress(targetAddress);
    const upstream = connect({ host, port, noDelay: true, allowHalfOpen: true });
    // A reset that arrives while reading is paused is read as an orderly end; only a write reveals it.
    upstream.once('end', () => {
      upstream.write(Buffer.alloc(0), () => upstream.end());
    });
    client.setNoDelay(true);
    // When the client disconnects, data that is held back for the target is lost; when the target does, the data that
    // was already forwarded from it still reaches the client.
    let earliestArrivalAtMs = readMonitor.getEarliestArrivalAtMs(client);
    upstream.once('connect', () => {
      if (upstream.localPort !== undefined) {
        earliestArrivalByPort.set(upstream.localPort, () => earliestArrivalAtMs);
      }
    });
    forwardFrom(
      client,
      upstream,
      () => upstream.destroy(),
      () => {
        earliestArrivalAtMs = readMonitor.getEarliestArrivalAtMs(client);
      },
    );
    forwardFrom(
      upstream,
      client,
      (hadError) => {
        if (hadError) {
          client.resetAndDestroy();
        } else {
          client.end();
        }
      },
      () => undefined,
    );
  });
  const readMonitor = monitorServerReads(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    isImpaired: () => state !== 'open' || getNowMs() - stateSetAtMs < RECOVERY_TIME_MS,
    getEarliestArrivalAtMs: (localPort) =>
      earliestArrivalByPort.get(localPort ?? 0)?.() ?? Infinity,
    setState: (nextState) => {
      state = nextState;
      stateSetAtMs = getNowMs();
      if (nextState === 'reset') {
        sockets.forEach((socket) => socket.resetAndDestroy());
      }
    },
    [Symbol.asyncDispose]: async () => {
      sockets.forEach((socket) => socket.destroy());
      readMonitor[Symbol.dispose]();
      server.close();
      await once(server, 'close');
    },
  };
};
