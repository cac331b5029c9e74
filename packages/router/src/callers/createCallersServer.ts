import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { closeHttp, listenHttp, splitAddress } from '@parsleyhall/common';
import type { CallerLimits } from '../memory/callerLimits.js';
import type { MemoryBudget } from '../memory/memoryBudget.js';
import type { PacedReading } from '../reading/pacedReading.js';
import type { CallerObserver } from './callerObserver.js';
import type { CallersServer } from './callersServer.js';
import { countHeaderBytes } from './countHeaderBytes.js';
import { createConnectionTracker } from './createConnectionTracker.js';
import type { CallerDismissal } from './callerDismissal.js';
import { discardRequest } from './discardRequest.js';
import { dismissCaller } from './dismissCaller.js';

const MAX_HEADER_BYTES = 65_536;
/** How often the heads and the requests ahead of connections are counted, since nothing tells of their bytes. */
const CONNECTIONS_CHECK_INTERVAL_MS = 250;
/** Applies until a configuration sets another one. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Creates the server for callers directly on `node:http`, since relays need access to the connections. */
export const createCallersServer = ({
  handle,
  recordConnection,
  getMaxHeaderBytes,
  getMaxBodyBytes,
  memory,
  reading,
  limits,
  observer,
}: {
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  readonly recordConnection: (socket: Socket) => void;
  readonly getMaxHeaderBytes: () => number;
  readonly getMaxBodyBytes: () => number;
  readonly memory: MemoryBudget;
  readonly reading: PacedReading;
  readonly limits: CallerLimits;
  readonly observer: CallerObserver;
}): CallersServer => {
  const connections = createConnectionTracker({
    memory,
    limits,
    observer,
    countParsedBytes: (socket) => socket.bytesRead - reading.countUnparsedBytes(socket),
    getNowMs: () => performance.now(),
  });
  const refuse = (request: IncomingMessage, reason: CallerDismissal): void => {
    observer.reportDismissal(request, reason, dismissCaller(request.socket, reason));
    discardRequest(request);
  };
  /** Refuses a request whose headers are too large, or that has no Host and needs one. */
  const hasValidHeaders = (request: IncomingMessage): boolean => {
    if (countHeaderBytes(request) > getMaxHeaderBytes()) {
      refuse(request, 'headersTooLarge');
      return false;
    }
    if (request.httpVersion === '1.1' && request.headers.host === undefined) {
      refuse(request, 'noHost');
      return false;
    }
    return true;
  };
  const addRequest = (request: IncomingMessage, response: ServerResponse): void => {
    connections.addRequest(request, response, () => {
      if (hasValidHeaders(request)) {
        handle(request, response);
      }
    });
  };
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      // The server would also count the time in which a connection is not read because of a response that is due.
      headersTimeout: 0,
      requestTimeout: 0,
      // The server would respond to each of the requests ahead before they are counted.
      requireHostHeader: false,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      noDelay: true,
    },
    addRequest,
  );
  // Lines beyond the default number would be left out of the request; the size of the head limits them.
  server.maxHeadersCount = 0;
  server.on('checkContinue', (request, response) => {
    connections.addRequest(request, response, () => {
      if (!hasValidHeaders(request)) {
        return;
      }
      if (Number(request.headers['content-length'] ?? 0) <= getMaxBodyBytes()) {
        response.writeContinue();
      }
      handle(request, response);
    });
  });
  server.on('checkExpectation', (request, response) => {
    connections.addRequest(request, response, () => {
      refuse(request, 'expectationFailed');
    });
  });
  const checkTimer = setInterval(connections.checkConnections, CONNECTIONS_CHECK_INTERVAL_MS);
  // The server's own method, which `close` calls too, cuts a response that has ended and is not yet written out.
  server.closeIdleConnections = connections.closeIdleConnections;
  server.on('connection', (socket) => {
    connections.addConnection(socket);
    recordConnection(socket);
    reading.addConnection(socket, () => {
      connections.endAbandonedRequest(socket);
    });
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
      clearInterval(checkTimer);
      connections.breakOffResponses();
      return closeHttp(server);
    },
  };
};
