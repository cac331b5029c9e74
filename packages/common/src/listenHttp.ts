import { once } from 'node:events';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ListenerAddress } from './listenerAddress.js';

const formatAddress = ({ address, family, port }: AddressInfo): string =>
  family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;

/** Begins to listen and returns the bound `ip:port`; rejects when the address cannot be bound. */
export const listenHttp = async (
  server: Server,
  { address, port }: ListenerAddress,
): Promise<string> => {
  server.listen(port, address);
  await once(server, 'listening');
  return formatAddress(server.address() as AddressInfo);
};
