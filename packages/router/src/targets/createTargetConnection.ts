import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { splitAddress } from '@parsleyhall/common';
import { Client } from 'undici';
import type { TargetConnection } from './targetConnection.js';

/** Long enough for a handshake across data centres in which one packet from the target is lost. */
const CONNECT_TIMEOUT_MS = 400;
/** Shorter than the usual idle timeout of targets; a timeout that the target announces takes precedence. */
const IDLE_TIMEOUT_MS = 4_000;
const TCP_KEEP_ALIVE_DELAY_MS = 1_000;
const MAX_HEADER_BYTES = 65_536;
/** A connection on which more bytes than this arrive without advancing a response is closed. */
const MAX_BYTES_WITHOUT_PROGRESS = 262_144;

const connectSocket = (address: string): Promise<Socket> =>
  new Promise((resolve, reject) => {
    const { address: host, port } = splitAddress(address);
    const socket = connect({ host, port, noDelay: true, allowHalfOpen: true });
    const timer = setTimeout(() => {
      socket.destroy(new Error(`no connection to ${address} after ${CONNECT_TIMEOUT_MS} ms`));
    }, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.setKeepAlive(true, TCP_KEEP_ALIVE_DELAY_MS);
      resolve(socket);
    });
    socket.once('error', (error) => {
      clearTimeout(timer);
      reject(error);
    });
  });

/** Creates a connection that is established with the first request. */
export const createTargetConnection = (address: string): TargetConnection => {
  let wasReset = false;
  let bytesReadAtProgress = 0;
  let openedSocket: Socket | undefined;
  const limitBytesWithoutProgress = (socket: Socket): void => {
    // The client reads in a 'readable' listener as well; this one is added later so that it runs after the client's
    // progress has been recorded.
    setImmediate(() => {
      socket.on('readable', () => {
        if (socket.bytesRead - bytesReadAtProgress > MAX_BYTES_WITHOUT_PROGRESS) {
          socket.destroy(
            new Error(
              `${MAX_BYTES_WITHOUT_PROGRESS} bytes were received without progress of a response`,
            ),
          );
        }
      });
    });
  };

  const client = new Client(`http://${address}`, {
    pipelining: 1,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxHeaderSize: MAX_HEADER_BYTES,
    connect: (_, callback) => {
      connectSocket(address).then(
        (socket) => {
          openedSocket = socket;
          limitBytesWithoutProgress(socket);
          // The client treats a reset as the regular end of a response without framing headers, so this listener runs
          // before the one of the client and records the reset.
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
    recordProgress: () => {
      bytesReadAtProgress = openedSocket?.bytesRead ?? 0;
    },
    hasTargetEnded: () => openedSocket?.readableEnded ?? false,
    hasUnsentBytes: () => (openedSocket?.writableLength ?? 0) > 0,
    hasNoticedReset: () => wasReset,
    checkReset: (callback) => {
      if (wasReset || openedSocket === undefined || openedSocket.destroyed) {
        callback(wasReset);
        return;
      }
      // A reset that arrives together with the last bytes is read as an orderly close; only a write reveals it.
      openedSocket.write(Buffer.alloc(0), (error) => {
        callback(wasReset || (error !== null && error !== undefined));
      });
    },
  };
};
