import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { closeHttp, listenHttp, splitAddress } from '@parsleyhall/common';
import type { CallersServer } from './callersServer.js';

const MAX_HEADER_BYTES = 65_536;
const HEADERS_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 1_000;
const FIRST_IDLE_TIMEOUT_MS = 15_000;

/** Creates the server for callers over the plain HTTP library, since a relay needs the connections themselves. */
export const createCallersServer = ({
  handle,
  noteAccepted,
}: {
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  readonly noteAccepted: (socket: Socket) => void;
}): CallersServer => {
  let open = 0;
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: FIRST_IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      noDelay: true,
    },
    (request, response) => {
      open += 1;
      response.once('close', () => {
        open -= 1;
      });
      handle(request, response);
    },
  );
  server.on('connection', noteAccepted);
  return {
    countOpen: () => open,
    listen: (address) => listenHttp(server, splitAddress(address)),
    setIdleTimeoutMs: (idleTimeoutMs) => {
      server.keepAliveTimeout = idleTimeoutMs;
    },
    stopListening: () => {
      server.close();
    },
    closeIdle: () => {
      server.closeIdleConnections();
    },
    [Symbol.asyncDispose]: () => closeHttp(server),
  };
};
