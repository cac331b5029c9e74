import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { closeHttp, listenHttp, splitAddress } from '@parsleyhall/common';
import type { CallersServer } from './callersServer.js';
import { createConnectionTracker } from './createConnectionTracker.js';

const MAX_HEADER_BYTES = 65_536;
const HEADERS_TIMEOUT_MS = 10_000;
const CONNECTIONS_CHECK_INTERVAL_MS = 1_000;
/** Applies until a configuration sets another one. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Creates the server for callers directly on `node:http`, since relays need access to the connections. */
export const createCallersServer = ({
  handle,
  recordConnection,
}: {
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  readonly recordConnection: (socket: Socket) => void;
}): CallersServer => {
  const connections = createConnectionTracker(() => performance.now());
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MS,
      noDelay: true,
    },
    (request, response) => {
      connections.addRequest(request, response, () => {
        handle(request, response);
      });
    },
  );
  // The server's own method, which `close` calls too, cuts a response that has ended and is not yet written out.
  server.closeIdleConnections = connections.closeIdleConnections;
  server.on('connection', (socket) => {
    connections.addConnection(socket);
    recordConnection(socket);
  });
  return {
    countOpenRequests: connections.countOpenRequests,
    countUsedConnections: connections.countUsedConnections,
    listen: (address) => listenHttp(server, splitAddress(address)),
    setIdleTimeoutMs: (idleTimeoutMs) => {
      server.keepAliveTimeout = idleTimeoutMs;
    },
    stopListening: () => {
      server.close();
    },
    closeIdleConnections: connections.closeIdleConnections,
    breakOffResponses: connections.breakOffResponses,
    [Symbol.asyncDispose]: () => {
      connections.breakOffResponses();
      return closeHttp(server);
    },
  };
};
