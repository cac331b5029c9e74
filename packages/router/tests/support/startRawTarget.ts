import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { RawTarget } from './rawTarget.js';
import { RequestQueue } from './requestQueue.js';

/** Starts a target on the loopback interface. */
export const startRawTarget = async (queue = new RequestQueue()): Promise<RawTarget> => {
  const sockets = new Set<Socket>();
  let connections = 0;
  let requests = 0;

  const server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
        const head = text.slice(0, end);
        text = text.slice(end + 4);
        const getHeader = (name: string): string | undefined =>
          new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]?.trim();
        requests += 1;
        queue.push({ head, socket, getHeader });
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    countConnections: () => connections,
    countRequests: () => requests,
    nextRequest: () => queue.next(),
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        sockets.forEach((socket) => socket.destroy());
        server.close(() => {
          resolve();
        });
      }),
  };
};
