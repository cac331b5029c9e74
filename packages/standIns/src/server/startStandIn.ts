import { createServer } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { toNodeHandler, type H3 } from 'h3/node';
import type { StandIn } from './standIn.js';

const LOOPBACK_ADDRESS = '127.0.0.1';

/** Serves an application on the loopback address. Port 0 selects a free port. */
export const startStandIn = async (app: H3, port: number): Promise<StandIn> => {
  const server = createServer({ keepAliveTimeout: 60_000 }, toNodeHandler(app));
  server.listen(port, LOOPBACK_ADDRESS);
  await once(server, 'listening');
  const { port: boundPort } = server.address() as AddressInfo;
  return {
    address: `${LOOPBACK_ADDRESS}:${boundPort}`,
    [Symbol.asyncDispose]: async () => {
      const closed = once(server, 'close');
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
};
