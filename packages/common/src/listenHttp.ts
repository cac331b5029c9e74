import { once } from 'node:events';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ListenerAddress } from './listenerAddress.js';

/** Maximum length of the accept queue, large enough for a burst of new connections. */
const LISTEN_BACKLOG = 4_096;

const formatAddress = ({ address, family, port }: AddressInfo): string =>
  family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;

/** Starts to listen and returns the bound `ip:port`; rejects if the address cannot be bound. */
export const listenHttp = async (
  server: Server,
  { address, port }: ListenerAddress,
): Promise<string> => {
  server.listen({ host: address, port, backlog: LISTEN_BACKLOG });
  await once(server, 'listening');
  return formatAddress(server.address() as AddressInfo);
};
