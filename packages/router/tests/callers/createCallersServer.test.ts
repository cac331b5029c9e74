import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { expect, test, vi } from 'vitest';
import { createCallersServer } from '../../src/callers/createCallersServer.js';
import { createTestLimits } from '../support/createTestLimits.js';

/** More requests than a connection may have ahead. */
const REQUESTS = 100;
/** More than the kernel takes for a caller that does not read. */
const UNREAD_BYTES = 67_108_864;
const UNREAD_TIMEOUT_MS = 1_000;
const DRIBBLE_PERIOD_MS = 200;
const MAX_WAIT_MS = 15_000;

const startServer = async (
  handle: (request: IncomingMessage, response: ServerResponse) => void,
  options: Partial<ReturnType<typeof createTestLimits>> & {
    readonly recordConnection?: (socket: Socket) => void;
  } = {},
) => {
  const server = createCallersServer({
    ...createTestLimits(),
    recordConnection: () => undefined,
    ...options,
    handle,
  });
  const [host = '', port = ''] = (await server.listen('127.0.0.1:0')).split(':');
  const open = (text: string, { allowHalfOpen = false } = {}): Socket => {
    const socket = connect({ host, port: Number(port), allowHalfOpen });
    socket.on('error', () => undefined);
    socket.write(text);
    return socket;
  };
  return { open, [Symbol.asyncDispose]: server[Symbol.asyncDispose] };
};

// Guards against an incomplete response that looks complete: without a length or chunks, only a reset tells.
test('a connection with too many requests ahead ends its HTTP/1.0 response with a reset', async () => {
  await using server = await startServer((_, response) => {
    response.write('begun');
  });
  const socket = server.open('GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n');
  await once(socket, 'readable');
  const ended = once(socket, 'end');
  socket.resume();
  socket.write('GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n'.repeat(REQUESTS));
  await expect(ended).rejects.toThrow('ECONNRESET');
});

// Guards against requests that vanish without a log line because their connection is closing.
test('the requests behind the last one of a connection are reported', async () => {
  const { observer } = createTestLimits();
  let discarded = 0;
  await using server = await startServer(() => undefined, {
    observer: {
      ...observer,
      reportDiscarded: () => {
        discarded += 1;
      },
    },
  });
  const socket = server.open('GET / HTTP/1.1\r\n\r\n'.repeat(3)).resume();
  await once(socket, 'close');
  expect(discarded).toBe(2);
});

// Guards against a descriptor that stays behind for ever: a connection whose side has ended cannot be reset.
test('a refused connection with many requests behind it is released', async () => {
  const closed: Promise<unknown>[] = [];
  await using server = await startServer(() => undefined, {
    recordConnection: (socket) => closed.push(once(socket, 'close')),
  });
  const caller = server.open('GET / HTTP/1.1\r\n\r\n'.repeat(REQUESTS), { allowHalfOpen: true });
  await once(caller.resume(), 'end');
  const timeout = new Promise((resolve) => setTimeout(resolve, MAX_WAIT_MS, 'open'));
  expect(await Promise.race([...closed, timeout])).not.toBe('open');
  caller.destroy();
});

// Guards against a request without a Host that is served because it expects to be asked for its body.
test('a request that expects 100-continue needs a Host too', async () => {
  await using server = await startServer((_, response) => {
    response.end();
  });
  const socket = server.open(
    'POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n',
  );
  const [received] = (await once(socket, 'data')) as [Buffer];
  expect(received.toString()).toMatch(/^HTTP\/1\.1 400 /);
  socket.destroy();
});

// Guards against header lines that are left out of the request without a word.
test('a request with more header lines than the default of the parser is passed on whole', async () => {
  const lines: number[] = [];
  await using server = await startServer(({ rawHeaders }, response) => {
    lines.push(rawHeaders.length / 2);
    response.end();
  });
  const socket = server.open(`GET / HTTP/1.1\r\n${'a:\r\n'.repeat(3_000)}Host: a\r\n\r\n`);
  const [received] = (await once(socket, 'data')) as [Buffer];
  expect(received.toString()).toMatch(/^HTTP\/1\.1 200 /);
  expect(lines).toEqual([3_001]);
  socket.destroy();
});

// Guards against headers over the limit that the operator has set.
test('a request with headers over the limit is refused', async () => {
  await using server = await startServer((_, response) => {
    response.end();
  });
  const socket = server.open(`GET / HTTP/1.1\r\nHost: a\r\nX-Large: ${'x'.repeat(16_384)}\r\n\r\n`);
  const [received] = (await once(socket, 'data')) as [Buffer];
  expect(received.toString()).toMatch(/^HTTP\/1\.1 431 /);
  socket.destroy();
});

// Guards against a caller that reads nothing and keeps its connection by sending a few bytes now and then.
test('a caller that sends bytes and reads nothing is disconnected', async () => {
  const { limits, observer } = createTestLimits();
  const reasons: string[] = [];
  await using server = await startServer(
    (_, response) => {
      response.end(Buffer.alloc(UNREAD_BYTES));
    },
    {
      limits: { ...limits, unreadTimeoutMs: UNREAD_TIMEOUT_MS },
      observer: { ...observer, reportClosed: (reason) => reasons.push(reason) },
    },
  );
  const socket = server.open('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  const timer = setInterval(() => socket.write('\r\n'), DRIBBLE_PERIOD_MS);
  socket.on('error', () => undefined);
  await vi.waitFor(
    () => {
      expect(reasons).toEqual(['responseUnread']);
    },
    { timeout: MAX_WAIT_MS },
  );
  clearInterval(timer);
  socket.destroy();
});

// Guards against unfinished bodies that take all connections, so that an ordinary caller is not accepted.
test('a connection whose body is awaited gives way to a new one', async () => {
  const { limits } = createTestLimits();
  await using server = await startServer(
    (request, response) => {
      request.resume();
      request.once('end', () => response.end('served'));
    },
    { limits: { ...limits, maxConnections: 2 } },
  );
  const unfinished =
    'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n';
  const first = server.open(unfinished);
  await once(first, 'data');
  const second = server.open(unfinished);
  await once(second, 'data');
  const refused = once(first, 'data') as Promise<[Buffer]>;
  const ordinary = server.open('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  ordinary.on('error', () => undefined);
  const [served] = (await once(ordinary, 'data')) as [Buffer];
  expect(served.toString()).toMatch(/^HTTP\/1\.1 200 [^]*served$/);
  expect((await refused)[0].toString()).toMatch(/^HTTP\/1\.1 503 [^]*retry-after: 0\.500/);
  [first, second, ordinary].forEach((socket) => socket.destroy());
});

// Guards against requests that begin for nobody, and against a complete response that is cut because its caller has ended.
test('of a caller that has ended its side, no further request begins once its response is written', async () => {
  const handled: (string | undefined)[] = [];
  await using server = await startServer((request, response) => {
    handled.push(request.url);
    request.resume();
    response.end(Buffer.alloc(UNREAD_BYTES));
  });
  const paths = ['/1', '/2', '/3'];
  const requests = paths.map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
  const socket = server.open(requests.join(''), { allowHalfOpen: true });
  socket.pause();
  await vi.waitUntil(() => handled.length > 0, { timeout: MAX_WAIT_MS });
  socket.end();
  await wait(100);
  let receivedBytes = 0;
  socket.on('data', (bytes: Buffer) => {
    receivedBytes += bytes.length;
  });
  socket.resume();
  await once(socket, 'close');
  expect(handled).toEqual(['/1']);
  expect(receivedBytes).toBeGreaterThan(UNREAD_BYTES);
  expect(receivedBytes).toBeLessThan(2 * UNREAD_BYTES);
});

// Guards against an incomplete response that looks complete to a caller that has ended its side and still reads.
test('a response to HTTP/1.0 whose caller ends its side behind requests ahead ends with a reset', async () => {
  await using server = await startServer((_, response) => {
    response.write('begun');
  });
  const socket = server.open('GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n'.repeat(2), {
    allowHalfOpen: true,
  });
  await once(socket, 'readable');
  const ended = once(socket, 'end');
  socket.resume();
  socket.end();
  await expect(ended).rejects.toThrow('ECONNRESET');
});
