import type { ConnectionPool } from './connectionPool.js';
import { createTargetConnection } from './createTargetConnection.js';
import type { TargetConnection } from './targetConnection.js';

const destroy = (connection: TargetConnection): void => {
  connection.client.destroy().catch(() => undefined);
};

/** Creates an empty pool; a connection that ends leaves it. */
export const createConnectionPool = (): ConnectionPool => {
  const idleConnections = new Map<string, TargetConnection[]>();

  const removeIdle = (address: string, connection: TargetConnection): void => {
    const remaining = (idleConnections.get(address) ?? []).filter((idle) => idle !== connection);
    if (remaining.length === 0) {
      idleConnections.delete(address);
      return;
    }
    idleConnections.set(address, remaining);
  };

  return {
    takeIdle: (address) => idleConnections.get(address)?.pop(),
    open: (address) => {
      const connection = createTargetConnection(address);
      connection.client.on('disconnect', () => {
        removeIdle(address, connection);
        destroy(connection);
      });
      return connection;
    },
    release: (address, connection) => {
      const idle = idleConnections.get(address) ?? [];
      idle.push(connection);
      idleConnections.set(address, idle);
    },
    destroy,
    [Symbol.asyncDispose]: async () => {
      const connections = [...idleConnections.values()].flat();
      idleConnections.clear();
      await Promise.all(connections.map(({ client }) => client.destroy()));
    },
  };
};
