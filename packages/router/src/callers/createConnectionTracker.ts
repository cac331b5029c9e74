import type { Socket } from 'node:net';
import type { CallerLimits } from '../memory/callerLimits.js';
import type { MemoryBudget } from '../memory/memoryBudget.js';
import { addLateRequest } from './addLateRequest.js';
import { breakOffResponse } from './breakOffResponse.js';
import type { CallerObserver } from './callerObserver.js';
import { checkConnections } from './checkConnections.js';
import { closeBrokenOff } from './closeBrokenOff.js';
import { closeForLimit } from './closeForLimit.js';
import type { ConnectionTracker } from './connectionTracker.js';
import { collectWaitingBody } from './collectWaitingBody.js';
import { countRequestBytes } from './countRequestBytes.js';
import { findConnectionToClose } from './findConnectionToClose.js';
import { holdRequestsAhead } from './holdRequestsAhead.js';
import { mustPause } from './mustPause.js';
import { stopParsing } from './stopParsing.js';
import { stopReading } from './stopReading.js';
import type { TrackedConnection } from './trackedConnection.js';

/** A caller that sends its next request as soon as it has a response does so within this time, across its network. */
const MIN_IDLE_MS = 250;

/** The parser completes the block that was read, so more requests than one may arrive after reading has stopped. */
const MAX_REQUESTS_AHEAD = 64;

/** Connections are checked after so many new ones, besides the regular checks: many may send large heads at once. */
const CONNECTIONS_PER_CHECK = 32;

/** Creates a tracker without connections. */
export const createConnectionTracker = ({
  memory,
  limits,
  observer,
  countParsedBytes,
  getNowMs,
}: {
  readonly memory: MemoryBudget;
  readonly limits: CallerLimits;
  readonly observer: CallerObserver;
  /** Bytes that were read from the connection and parsed. */
  readonly countParsedBytes: (socket: Socket) => number;
  readonly getNowMs: () => number;
}): ConnectionTracker => {
  const connections = new Map<Socket, TrackedConnection>();
  let acceptedConnections = 0;

  const endRequest = (socket: Socket, connection: TrackedConnection): void => {
    const { openRequests, account } = connection;
    openRequests.shift();
    connection.idleSinceMs = getNowMs();
    connection.parsedBytesWhenIdle = countParsedBytes(socket);
    delete connection.headSinceMs;
    account.setServing(false);
    account.hold('head', 0);
    account.hold('body', 0);
    account.hold('request', 0);
    account.hold('bufferedResponse', 0);
    account.hold('unreadResponse', 0);
    const [next] = openRequests;
    if (next === undefined || socket.destroyed || socket.writableEnded) {
      return;
    }
    if (connection.hasCallerLeft) {
      socket.destroy();
      return;
    }
    holdRequestsAhead(connection);
    account.hold('head', next.headBytes);
    if (!account.isOpen()) {
      return;
    }
    next.waitingBody?.deliver();
    next.handle();
    if (!mustPause(socket, connection)) {
      socket.resume();
    }
  };

  const makeRoom = (): void => {
    if (connections.size < limits.maxConnections) {
      return;
    }
    const socket = findConnectionToClose(connections, getNowMs());
    const connection = socket === undefined ? undefined : connections.get(socket);
    if (socket !== undefined && connection !== undefined) {
      const held = { isServing: connection.account.isServing(), bytes: 0 };
      connections.delete(socket);
      connection.account.close();
      closeForLimit(socket, connection, held, observer, 'tooManyConnections');
    }
  };

  const check = (): void => {
    checkConnections(connections, getNowMs(), {
      observer,
      countParsedBytes,
      unreadTimeoutMs: limits.unreadTimeoutMs,
    });
  };

  const isIdle = (socket: Socket, connection: TrackedConnection): boolean =>
    connection.hasBeenUsed &&
    connection.openRequests.length === 0 &&
    socket.bytesRead === connection.parsedBytesWhenIdle &&
    getNowMs() - connection.idleSinceMs >= MIN_IDLE_MS;

  return {
    addConnection: (socket) => {
      acceptedConnections += 1;
      if (acceptedConnections % CONNECTIONS_PER_CHECK === 0) {
        check();
      }
      makeRoom();
      if (connections.size >= limits.maxConnections) {
        observer.reportClosed('tooManyConnections', 0);
        socket.destroy();
        return;
      }
      const account = memory.open(socket, (held) => {
        closeForLimit(socket, connection, held, observer, 'memoryShort');
      });
      const connection: TrackedConnection = {
        openRequests: [],
        account,
        hasBeenUsed: false,
        isClosing: false,
        hasCallerLeft: false,
        idleSinceMs: getNowMs(),
        parsedBytesWhenIdle: 0,
        lateRequests: 0,
      };
      connections.set(socket, connection);
      // The HTTP server resumes reading by itself, in a listener that was added before this one.
      socket.on('resume', () => {
        if (mustPause(socket, connection)) {
          stopReading(socket);
        }
      });
      socket.once('close', () => {
        connections.delete(socket);
        account.close();
      });
    },
    addRequest: (request, response, handle) => {
      const { socket } = request;
      const connection = connections.get(socket);
      if (connection === undefined) {
        stopParsing(socket);
        return;
      }
      if (connection.isClosing || socket.writableEnded) {
        addLateRequest(request, connection, observer);
        return;
      }
      connection.hasBeenUsed = true;
      const { openRequests, account } = connection;
      openRequests.push({
        request,
        response,
        handle,
        sinceMs: getNowMs(),
        headBytes: countRequestBytes(request),
        ...(openRequests.length === 0 ? {} : { waitingBody: collectWaitingBody(request) }),
      });
      if (openRequests.length > MAX_REQUESTS_AHEAD) {
        connection.isClosing = true;
        observer.reportClosed(
          'tooManyRequestsAhead',
          openRequests.reduce((sum, { headBytes }) => sum + headBytes, 0),
        );
        closeBrokenOff(socket, connection);
        return;
      }
      holdRequestsAhead(connection);
      if (openRequests.length === 1) {
        account.hold('head', countRequestBytes(request));
      }
      if (!account.isOpen()) {
        return;
      }
      if (mustPause(socket, connection)) {
        stopReading(socket);
      }
      response.once('close', () => {
        endRequest(socket, connection);
      });
      if (openRequests.length === 1) {
        handle();
      }
    },
    endAbandonedRequest: (socket) => {
      const connection = connections.get(socket);
      if (connection === undefined) {
        return;
      }
      connection.hasCallerLeft = true;
      if (connection.openRequests[0]?.response.writableEnded === false) {
        closeBrokenOff(socket, connection);
      }
    },
    countOpenRequests: () =>
      [...connections.values()].reduce((count, { openRequests }) => count + openRequests.length, 0),
    countUsedConnections: () =>
      [...connections.values()].filter(({ hasBeenUsed }) => hasBeenUsed).length,
    closeIdleConnections: () => {
      // Destroying a connection leaves a request that is just arriving unread, so that its caller can send it again.
      [...connections]
        .filter(([socket, connection]) => isIdle(socket, connection))
        .forEach(([socket]) => socket.destroy());
    },
    checkConnections: check,
    breakOffResponses: () => {
      [...connections.values()]
        .flatMap(({ openRequests }) => openRequests.slice(0, 1))
        .forEach(({ response }) => {
          breakOffResponse(response);
        });
    },
  };
};
