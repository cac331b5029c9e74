import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { splitAddress } from '@parsleyhall/common';
import { Client } from 'undici';
import type { TargetConnection } from './targetConnection.js';

/** Long enough for a handshake across data centres with one packet lost on the way back. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle connections end before a target's usual bound, unless it names its own. */
const KEEP_ALIVE_MS = 4_000;
const PROBE_AFTER_MS = 1_000;
const MAX_HEADER_BYTES = 65_536;
/** What comes beyond this without bringing an answer further is no answer. */
const MAX_VAIN_BYTES = 262_144;

const connectTo = (address: string): Promise<Socket> =>
  new Promise((resolve, reject) => {
    const { address: host, port } = splitAddress(address);
    const socket = connect({ host, port, noDelay: true, allowHalfOpen: true });
    const timer = setTimeout(() => {
      socket.destroy(new Error(`no connection to ${address} after ${CONNECT_TIMEOUT_MS} ms`));
    }, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.setKeepAlive(true, PROBE_AFTER_MS);
      resolve(socket);
    });
    socket.once('error', (error) => {
      clearTimeout(timer);
      reject(error);
    });
  });

/** Prepares a connection; it is made with the first request. */
export const openConnection = (address: string): TargetConnection => {
  let wasReset = false;
  let progressBytes = 0;
  let opened: Socket | undefined;
  const watchVainBytes = (socket: Socket): void => {
    // The client reads in a listener of this kind too; what it makes of the bytes is noted by then.
    setImmediate(() => {
      socket.on('readable', () => {
        if (socket.bytesRead - progressBytes > MAX_VAIN_BYTES) {
          socket.destroy(new Error(`${MAX_VAIN_BYTES} bytes brought no answer further`));
        }
      });
    });
  };

  const client = new Client(`http://${address}`, {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxHeaderSize: MAX_HEADER_BYTES,
    connect: (_, callback) => {
      connectTo(address).then(
        (socket) => {
          opened = socket;
          watchVainBytes(socket);
          // The client takes a reset of an answer without a length for its end, so resets are noted here first.
          socket.prependListener('error', () => {
            wasReset = true;
          });
          callback(null, socket);
        },
        (error: unknown) => {
          callback(error instanceof Error ? error : new Error(String(error)), null);
        },
      );
    },
  });
  return {
    client,
    noteProgress: () => {
      progressBytes = opened?.bytesRead ?? 0;
    },
    checkReset: (take) => {
      if (wasReset || opened === undefined || opened.destroyed) {
        take(wasReset);
        return;
      }
      // A reset that comes along with the last bytes is read as an orderly end; only a write shows it.
      opened.write(Buffer.alloc(0), (error) => {
        take(wasReset || (error !== null && error !== undefined));
      });
    },
  };
};
