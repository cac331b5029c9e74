import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/** A port that nobody listens on at the moment. */
export const findFreePort = async (): Promise<number> => {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
};
