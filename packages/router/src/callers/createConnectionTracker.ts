import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { breakOffResponse } from './breakOffResponse.js';
import type { ConnectionTracker } from './connectionTracker.js';

/** A caller that sends its next request as soon as it has a response does so within this time, across its network. */
const MIN_IDLE_MS = 250;

interface OpenRequest {
  readonly response: ServerResponse;
  readonly handle: () => void;
}

interface TrackedConnection {
  /** The requests without a complete response; the first one is being handled. */
  readonly openRequests: OpenRequest[];
  hasBeenUsed: boolean;
  idleSinceMs: number;
  /** Bytes beyond this count belong to the next request. */
  bytesReadWhenIdle: number;
}

/** Creates a tracker without connections. */
export const createConnectionTracker = (getNowMs: () => number): ConnectionTracker => {
  const connections = new Map<Socket, TrackedConnection>();

  const endRequest = (socket: Socket, connection: TrackedConnection): void => {
    connection.openRequests.shift();
    connection.idleSinceMs = getNowMs();
    connection.bytesReadWhenIdle = socket.bytesRead;
    connection.openRequests[0]?.handle();
  };

  const isIdle = (socket: Socket, connection: TrackedConnection): boolean =>
    connection.hasBeenUsed &&
    connection.openRequests.length === 0 &&
    socket.bytesRead === connection.bytesReadWhenIdle &&
    getNowMs() - connection.idleSinceMs >= MIN_IDLE_MS;

  return {
    addConnection: (socket) => {
      connections.set(socket, {
        openRequests: [],
        hasBeenUsed: false,
        idleSinceMs: getNowMs(),
        bytesReadWhenIdle: 0,
      });
      socket.once('close', () => {
        connections.delete(socket);
      });
    },
    addRequest: ({ socket }, response, handle) => {
      const connection = connections.get(socket);
      if (connection === undefined) {
        return;
      }
      connection.hasBeenUsed = true;
      connection.openRequests.push({ response, handle });
      response.once('close', () => {
        endRequest(socket, connection);
      });
      if (connection.openRequests.length === 1) {
        handle();
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
    breakOffResponses: () => {
      [...connections.values()]
        .flatMap(({ openRequests }) => openRequests.slice(0, 1))
        .forEach(({ response }) => {
          breakOffResponse(response);
        });
    },
  };
};
