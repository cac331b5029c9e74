import type { Server } from 'node:http';
import { splitAddress } from './splitAddress.js';

const BACKLOG = 4_096;

/** Lets a server listen; answers with the address that it got, which differs where the port was 0. */
export const listen = (server: Server, address: string): Promise<string> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ ...splitAddress(address), backlog: BACKLOG }, () => {
      const bound = server.address();
      resolve(
        bound === null || typeof bound === 'string' ? address : `${bound.address}:${bound.port}`,
      );
    });
  });
