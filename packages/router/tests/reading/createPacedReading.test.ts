import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { expect, test, vi } from 'vitest';
import { createPacedReading } from '../../src/reading/createPacedReading.js';

const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\n';
const FULL_BODY_BYTES = 1_000_000;
const SLOW_CALLERS = 8;
const CHUNKS = 200_000;
const MAX_WAIT_MS = 15_000;

const startServer = async (
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<
  AsyncDisposable & {
    readonly open: () => Socket;
    readonly held: Map<Socket, number>;
    readonly earlyEnds: Set<Socket>;
    readonly server: Server;
  }
> => {
  const held = new Map<Socket, number>();
  const earlyEnds = new Set<Socket>();
  const reading = createPacedReading({
    getNowMs: () => performance.now(),
    getEarliestArrivalAtMs: () => performance.now(),
    holdUnparsedBytes: (socket, bytes) => held.set(socket, bytes),
    reportWait: () => undefined,
  });
  const server = createServer(handle);
  server.on('connection', (socket) => {
    reading.addConnection(socket, () => earlyEnds.add(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const sockets: Socket[] = [];
  return {
    held,
    earlyEnds,
    server,
    open: () => {
      const socket = connect({ host: '127.0.0.1', port: (server.address() as AddressInfo).port });
      socket.on('error', () => undefined);
      sockets.push(socket);
      return socket;
    },
    [Symbol.asyncDispose]: async () => {
      sockets.forEach((socket) => socket.destroy());
      const closed = new Promise((resolve) => server.close(resolve));
      // The end of a paused connection may not be noticed.
      server.closeAllConnections();
      await closed;
    },
  };
};

const readResponses = (socket: Socket, count: number): Promise<string> =>
  new Promise((resolve) => {
    let received = '';
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      if (received.split('HTTP/1.1 ').length > count) {
        resolve(received);
      }
    });
  });

const answerWithLength = (request: IncomingMessage, response: ServerResponse): void => {
  let bytes = 0;
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
  });
  request.once('end', () => response.end(`[${bytes}]`));
};

// Guards against bytes that are lost or parsed twice where a block is parsed in parts.
test.each([
  ['announced', `Content-Length: ${FULL_BODY_BYTES}\r\n\r\n`, 'x'.repeat(FULL_BODY_BYTES)],
  [
    'in small chunks',
    'Transfer-Encoding: chunked\r\n\r\n',
    `${'1\r\nx\r\n'.repeat(FULL_BODY_BYTES)}0\r\n\r\n`,
  ],
])('a body of many blocks, %s, arrives whole', async (_, framing, body) => {
  await using server = await startServer(answerWithLength);
  const socket = server.open();
  socket.write(HEAD + framing + body);
  expect(await readResponses(socket, 1)).toContain(`[${FULL_BODY_BYTES}]`);
});

// Guards against requests behind others that are never parsed, and against a next request that is not read any more.
test('the requests of a connection are answered in order, and reading goes on', async () => {
  await using server = await startServer(answerWithLength);
  const socket = server.open();
  const requests = Array.from(
    { length: 50 },
    (_, bytes) => `${HEAD}Content-Length: ${bytes * 100}\r\n\r\n${'x'.repeat(bytes * 100)}`,
  );
  socket.write(requests.join(''));
  const first = await readResponses(socket, 50);
  expect([...first.matchAll(/\[(\d+)\]/g)].map(([, bytes]) => Number(bytes))).toEqual(
    Array.from({ length: 50 }, (_, bytes) => bytes * 100),
  );
  socket.removeAllListeners('data');
  socket.write(`${HEAD}Content-Length: 1\r\n\r\nx`);
  expect(await readResponses(socket, 1)).toContain('[1]');
});

// Guards against the end of a caller that overtakes its last bytes, or is never seen.
test('the end of a connection comes behind its last bytes', async () => {
  const events: string[] = [];
  await using server = await startServer((request, response) => {
    answerWithLength(request, response);
    request.once('end', () => events.push('requestEnded'));
    request.socket.once('end', () => events.push('socketEnded'));
  });
  const socket = server.open();
  socket.end(`${HEAD}Content-Length: ${FULL_BODY_BYTES}\r\n\r\n${'x'.repeat(FULL_BODY_BYTES)}`);
  await readResponses(socket, 1);
  await once(socket, 'close');
  expect(events).toEqual(['requestEnded', 'socketEnded']);
});

// Guards against a paused connection whose bytes go on being parsed, or whose bytes count as held for ever.
test('nothing is parsed while a connection is paused, and what waits is counted until it is parsed', async () => {
  const requests: IncomingMessage[] = [];
  await using server = await startServer((request, response) => {
    requests.push(request);
    if (requests.length === 1) {
      request.socket.pause();
    } else {
      request.resume();
    }
    request.once('end', () => response.end());
  });
  const socket = server.open();
  // More than is parsed at a time.
  socket.write(`${HEAD}Content-Length: 20000\r\n\r\n${'x'.repeat(20_000)}${HEAD}\r\n`);
  await once(server.server, 'request');
  await new Promise((resolve) => setTimeout(resolve, 100));
  expect(requests).toHaveLength(1);
  const countHeld = (): number => [...server.held.values()].reduce((sum, bytes) => sum + bytes, 0);
  expect(countHeld()).toBeGreaterThan(0);
  requests[0]?.resume();
  await once(server.server, 'request');
  await new Promise((resolve) => setImmediate(resolve));
  expect(countHeld()).toBe(0);
});

// Guards against many chunks that keep the event loop: a request that came later would be answered after all of them.
test('a small request is answered before the bodies that came first are parsed', async () => {
  let finished = 0;
  await using server = await startServer((request, response) => {
    request.resume();
    request.once('end', () => {
      finished += request.url === '/chunks' ? 1 : 0;
      response.end();
    });
  });
  const chunks = Buffer.from('1\r\nx\r\n'.repeat(CHUNKS));
  const written = Array.from({ length: SLOW_CALLERS }, () => {
    const socket = server.open();
    socket.write('POST /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
    socket.write(chunks);
    socket.write('0\r\n\r\n');
    return once(socket, 'data');
  });
  await new Promise((resolve) => setTimeout(resolve, 20));
  const ordinary = server.open();
  ordinary.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  await readResponses(ordinary, 1);
  expect(finished).toBeLessThan(SLOW_CALLERS);
  await Promise.all(written);
});

// Guards against callers that leave unnoticed, whose requests run on and whose connections stay open.
test.each([
  ['nothing', ''],
  ['a request', `${HEAD}\r\n`],
  ['more than is parsed at a time', `${HEAD}Content-Length: 30000\r\n\r\n${'x'.repeat(30_000)}`],
])('the end of a paused connection behind %s is reported', async (_, behind) => {
  const requests: IncomingMessage[] = [];
  await using server = await startServer((request) => {
    requests.push(request);
    request.resume();
    request.once('end', () => {
      request.socket.pause();
    });
  });
  const socket = server.open();
  socket.write(`${HEAD}\r\n`);
  await once(server.server, 'request');
  socket.write(behind);
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(server.earlyEnds.size).toBe(0);
  socket.end();
  await vi.waitUntil(() => server.earlyEnds.size > 0, { timeout: MAX_WAIT_MS });
  expect(requests).toHaveLength(1);
  expect([...server.earlyEnds]).toEqual([requests[0]?.socket]);
});

// Guards against a paused connection that is read without a bound.
test('a paused connection is read up to a bound', async () => {
  await using server = await startServer((request) => {
    request.socket.pause();
  });
  const socket = server.open();
  socket.write(`${HEAD}Content-Length: 10000000\r\n\r\n`);
  await once(server.server, 'request');
  socket.write(Buffer.alloc(10_000_000));
  const getHeld = (): number => Math.max(0, ...server.held.values());
  await vi.waitUntil(() => getHeld() > 0, { timeout: MAX_WAIT_MS });
  await new Promise((resolve) => setTimeout(resolve, 200));
  const held = getHeld();
  expect(held).toBeLessThanOrEqual(4 * 65_536);
});
