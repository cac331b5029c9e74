import { once } from 'node:events';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ListenerAddress } from './listenerAddress.js';

/** Connections that may wait to be accepted: those of a whole burst. */
const BACKLOG = 4_096;

const formatAddress = ({ address, family, port }: AddressInfo): string =>
  family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;

/** Begins to listen and returns the bound `ip:port`; rejects when the address cannot be bound. */
export const listenHttp = async (
  server: Server,
  { address, port }: ListenerAddress,
): Promise<string> => {
  server.listen({ host: address, port, backlog: BACKLOG });
  await once(server, 'listening');
  return formatAddress(server.address() as AddressInfo);
};
