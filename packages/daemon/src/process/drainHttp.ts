import type { Server } from 'node:http';

const IDLE_CHECK_PERIOD_MS = 20;
const LONGEST_DRAIN_MS = 10_000;

/** Stops listening and waits for the answers under way to be sent, up to a bound. */
export const drainHttp = async (server: Server): Promise<void> => {
  const closed = new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
  const idleCheck = setInterval(() => {
    server.closeIdleConnections();
  }, IDLE_CHECK_PERIOD_MS);
  const bound = setTimeout(() => {
    server.closeAllConnections();
  }, LONGEST_DRAIN_MS);
  await closed;
  clearInterval(idleCheck);
  clearTimeout(bound);
};
