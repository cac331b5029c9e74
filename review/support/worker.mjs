// A stand-in for a worker, on raw sockets.
import { createServer } from 'node:net';
import { readRequests } from './http.mjs';

const HEARTBEAT_MS = 1_200;

/** Makes the head of a response that bears the worker's signature; `length` undefined stands for chunks. */
export const makeHead = (status, request, worker, { length, headers = [], isChunked } = {}) =>
  [
    `HTTP/1.1 ${status} Status`,
    `X-Attempt-Id: ${request.headers.get('x-attempt-id') ?? ''}`,
    `X-Response-Seal: ${worker.id}.${request.headers.get('x-attempt-id') ?? ''}`,
    ...(length === undefined ? [] : [`Content-Length: ${length}`]),
    ...(isChunked ? ['Transfer-Encoding: chunked'] : []),
    ...headers,
    '',
    '',
  ].join('\r\n');

export const makeChunk = (text) => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

export const makeEvent = (number) => `id: ${number}\ndata: piece ${number}\n\n`;

/**
 * Starts a worker on a free port, which registers itself in the store as PROTOCOL.md tells it. `run` gets each request
 * that the worker begins to work on; a request that expects another instance gets 421 and isn't run.
 */
export const startWorker = async ({ store, id, service, zone = 'a', slots = 8, record, run }) => {
  const worker = { id, address: '' };
  const sockets = new Set();
  let sequence = 0;
  const born = Date.now();

  const server = createServer({ allowHalfOpen: false, noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.on('close', () => {
      sockets.delete(socket);
    });
    socket.on('error', () => undefined);
    readRequests(socket, (request) => {
      const attempt = request.headers.get('x-attempt-id');
      if (request.headers.get('x-expect-instance') !== id) {
        socket.write(
          `HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: ${id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
        );
        return;
      }
      record('runs', { worker: id, attempt, method: request.method, path: request.path });
      run({ request, socket, worker, attempt });
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  worker.address = `127.0.0.1:${server.address().port}`;

  const register = () => {
    sequence += 1;
    const entry = {
      service,
      address: worker.address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      coldRemainingMs: 0,
      sequence,
      born,
    };
    store.append('keyed.servers', id, JSON.stringify(entry));
  };
  register();
  const timer = setInterval(register, HEARTBEAT_MS);
  return {
    ...worker,
    close: () => {
      clearInterval(timer);
      sockets.forEach((socket) => {
        socket.destroy();
      });
      server.close();
    },
  };
};
