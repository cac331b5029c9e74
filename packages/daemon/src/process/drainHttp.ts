import type { Server } from 'node:http';

const IDLE_CHECK_INTERVAL_MS = 20;
const MAX_DRAIN_MS = 10_000;

/** Stops listening and waits until the responses in progress are sent, up to a time limit. */
export const drainHttp = async (server: Server): Promise<void> => {
  const closed = new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
  const idleCheckTimer = setInterval(() => {
    server.closeIdleConnections();
  }, IDLE_CHECK_INTERVAL_MS);
  const timeLimitTimer = setTimeout(() => {
    server.closeAllConnections();
  }, MAX_DRAIN_MS);
  await closed;
  clearInterval(idleCheckTimer);
  clearTimeout(timeLimitTimer);
};
