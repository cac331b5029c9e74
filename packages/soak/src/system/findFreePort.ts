import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/** Finds a port of the IP address that is free at the moment. */
export const findFreePort = async (ip: string): Promise<number> => {
  const server = createServer();
  server.listen(0, ip);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
};
