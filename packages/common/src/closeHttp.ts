import type { Server } from 'node:http';

/** Stops listening and closes all connections, including those with a request in progress. */
export const closeHttp = async (server: Server): Promise<void> => {
  const closed = new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
  server.closeAllConnections();
  await closed;
};
