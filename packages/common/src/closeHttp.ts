import type { Server } from 'node:http';

/** Stops listening and drops what is still connected. */
export const closeHttp = async (server: Server): Promise<void> => {
  const closed = new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
  server.closeAllConnections();
  await closed;
};
