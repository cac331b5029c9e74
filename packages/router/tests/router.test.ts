import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { describe, expect, it, vi } from 'vitest';
import type { RunningRouter } from '../src/index.js';
import { RequestQueue } from './support/requestQueue.js';
import { sendRequest } from './support/sendRequest.js';
import { startRawTarget } from './support/startRawTarget.js';
import { watchEnd } from './support/watchEnd.js';
import { silentLogger } from './support/silentLogger.js';
import { startTestRouter } from './support/startTestRouter.js';
import { toChunk } from './support/toChunk.js';
import { toEvent } from './support/toEvent.js';

const BLOCKED_MS = 600;

const blockEventLoop = (ms: number): void => {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
};

/** The timeout of the routes of the test router. */
const ROUTE_TIMEOUT_MS = 30_000;
const BUSY_TURN_MS = 30;
/** Accepting these, one per turn, takes longer than a caller's disconnect may go unnoticed. */
const CONNECTIONS_AHEAD = 25;

const connectTo = (router: RunningRouter): Socket => {
  const [host = '', port = ''] = router.callersAddress.split(':');
  const socket = connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  return socket;
};

const sendAndDisconnect = (router: RunningRouter, path: string): void => {
  const socket = connectTo(router);
  socket.write(`GET ${path} HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt: a0\r\n\r\n`, () => {
    socket.destroy();
  });
};

/** Makes each turn of the event loop slow; the router runs on the same one as the test. */
const startBusyEventLoop = (): AsyncDisposable & { readonly count: () => number } => {
  let turns = 0;
  let isStopped = false;
  const runTurn = (): void => {
    if (isStopped) {
      return;
    }
    turns += 1;
    blockEventLoop(BUSY_TURN_MS);
    setImmediate(runTurn);
  };
  setImmediate(runTurn);
  return {
    count: () => turns,
    [Symbol.asyncDispose]: () => {
      isStopped = true;
      return Promise.resolve();
    },
  };
};

const LAST_CHUNK = '0\r\n\r\n';
const CLOSE_HEADER = 'Connection: close\r\n';
const RESPONSE_HEAD = 'HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n';
const STREAM_HEAD = `${RESPONSE_HEAD}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;

describe('a response without framing headers', () => {
  // Guards against ORDER in review/4: without a length or chunks, any end of this process looks like the end of the body.
  it('is relayed with a length', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = sendRequest(router, '/nonIdempotent/x', CLOSE_HEADER);
    const { socket } = await target.nextRequest();
    socket.end(`${RESPONSE_HEAD}\r\nwhole`);
    const answer = await caller.whenClosed;
    expect(answer).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nwhole$/);
    expect(answer).toContain('Content-Length: 5');
  });

  it('is not complete if its connection was reset', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = sendRequest(router, '/nonIdempotent/x', CLOSE_HEADER);
    const { socket } = await target.nextRequest();
    socket.write(`${RESPONSE_HEAD}\r\nhalf`, () => {
      setImmediate(() => socket.resetAndDestroy());
    });
    expect(await caller.whenClosed).toContain('HTTP/1.1 502');
  });
});

describe('a stream without framing headers', () => {
  const UNFRAMED_STREAM_HEAD = `${RESPONSE_HEAD}Content-Type: text/event-stream\r\n\r\n`;
  const HALF_EVENT = 'id: 2\nda';

  it('is complete if it ends in order after an event', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = sendRequest(router, '/stream/x', CLOSE_HEADER);
    const { socket } = await target.nextRequest();
    socket.end(`${UNFRAMED_STREAM_HEAD}${toEvent(1)}`);
    const answer = await caller.whenClosed;
    expect(answer).toContain('Transfer-Encoding: chunked');
    expect(answer.endsWith(toChunk(toEvent(1)) + LAST_CHUNK)).toBe(true);
  });

  // Guards against a stream that its target broke off inside an event and that looks complete to the caller.
  it.each([
    { end: 'orderly', version: '1.1' },
    { end: 'reset', version: '1.1' },
    { end: 'orderly', version: '1.0' },
    { end: 'reset', version: '1.0' },
  ] as const)(
    'does not look complete to an HTTP/$version caller if it ends inside an event ($end)',
    async ({ end, version }) => {
      await using target = await startRawTarget();
      await using router = await startTestRouter([target]);
      const caller = sendRequest(router, '/stream/x', '', version);
      const whenEnded = watchEnd(caller);
      const { socket } = await target.nextRequest();
      socket.write(`${UNFRAMED_STREAM_HEAD}${toEvent(1)}${HALF_EVENT}`);
      await caller.waitForText(toEvent(1));
      if (end === 'reset') {
        socket.resetAndDestroy();
      } else {
        socket.end();
      }
      expect(await whenEnded).toBe(version === '1.0' ? 'reset' : 'orderly');
      const answer = await caller.whenClosed;
      expect(answer.includes('Transfer-Encoding: chunked')).toBe(version === '1.1');
      expect(answer.endsWith(LAST_CHUNK)).toBe(false);
    },
  );

  it('goes on at another target if it ends inside an event and may be resumed', async () => {
    const queue = new RequestQueue();
    await using first = await startRawTarget(queue);
    await using second = await startRawTarget(queue);
    await using router = await startTestRouter([first, second]);
    const caller = sendRequest(router, '/resumableStream/x');
    const broken = await queue.next();
    broken.socket.end(`${UNFRAMED_STREAM_HEAD}${toEvent(1)}${HALF_EVENT}`);
    const resumed = await queue.next();
    expect(resumed.getHeader('last-event-id')).toBe('1');
    resumed.socket.end(`${UNFRAMED_STREAM_HEAD}${toEvent(2)}`);
    const answer = await caller.waitForText(LAST_CHUNK);
    expect(answer.endsWith(toChunk(toEvent(1)) + toChunk(toEvent(2)) + LAST_CHUNK)).toBe(true);
  });
});

// Guards against bytes that reach the wrong caller and against unbounded memory: a faulty target sends bytes until its
// connection is closed.
describe('endless bytes that are no response', () => {
  const writeUntilClosed = (socket: Socket, bytes: string): Promise<void> =>
    new Promise((resolve) => {
      const write = (): void => {
        while (!socket.destroyed && socket.write(bytes));
      };
      socket.on('drain', write);
      socket.once('close', () => {
        resolve();
      });
      write();
    });
  /** Above the few million bytes that the buffers on the way can hold. */
  const MAX_SENT_BYTES = 33_554_432;
  const FILLER = 'x'.repeat(16_384);
  const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'.repeat(100);

  it.each([
    ['before the response head', '', FILLER],
    ['in the response head', `HTTP/1.1 200 OK\r\nAttempt: a1\r\nFiller: `, FILLER],
    ['as interim responses', '', INTERIM],
    ['in an event that never ends', STREAM_HEAD, toChunk(`data: ${FILLER}`)],
    ['in the size of a chunk', STREAM_HEAD, `1;${FILLER}`],
    ['in a body without a signature', `HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\n`, FILLER],
  ])(
    '%s close the connection, and the caller gets no complete response',
    async (_, start, filler) => {
      await using target = await startRawTarget();
      await using router = await startTestRouter([target]);
      const caller = sendRequest(router, '/stream/x', CLOSE_HEADER);
      const { socket } = await target.nextRequest();
      socket.write(start);
      await writeUntilClosed(socket, filler);
      expect(socket.bytesWritten).toBeLessThan(MAX_SENT_BYTES);
      expect(await caller.whenClosed).not.toContain('\r\n0\r\n');
    },
  );
});

describe('bytes that belong to no request', () => {
  it('close their connection and reach no caller', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const first = sendRequest(router, '/nonIdempotent/x', CLOSE_HEADER);
    const request = await target.nextRequest();
    request.socket.write(`${RESPONSE_HEAD}Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n`);
    expect(await first.whenClosed).toMatch(/ok$/);
    const second = sendRequest(router, '/nonIdempotent/x', CLOSE_HEADER);
    const next = await target.nextRequest();
    next.socket.write(`${RESPONSE_HEAD}Content-Length: 3\r\n\r\nyes`);
    expect(await second.whenClosed).toMatch(/yes$/);
    expect(target.countConnections()).toBe(2);
  });

  it('are recognised by the attempt id in their head', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = sendRequest(router, '/nonIdempotent/x', CLOSE_HEADER);
    const { socket } = await target.nextRequest();
    socket.write('HTTP/1.1 200 OK\r\nAttempt: a0\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno');
    const answer = await caller.whenClosed;
    expect(answer).toContain('HTTP/1.1 502');
    expect(answer).toContain('outcomeUnknown');
  });
});

describe('a request that was read late', () => {
  it('is not sent to a target if its caller has left meanwhile', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const [host = '', port = ''] = router.callersAddress.split(':');
    const socket = connect({ host, port: Number(port) });
    await once(socket, 'connect');
    // The request and the end of the connection stay unread while the event loop, which the router shares, is blocked.
    socket.write(`GET /nonIdempotent/left HTTP/1.1\r\nHost: ${host}\r\nAttempt: a0\r\n\r\n`);
    socket.destroy();
    blockEventLoop(BLOCKED_MS);
    const caller = sendRequest(router, '/nonIdempotent/stayed', CLOSE_HEADER);
    const request = await target.nextRequest();
    expect(request.head).toContain('/nonIdempotent/stayed');
    request.socket.write(`${RESPONSE_HEAD}Content-Length: 2\r\n\r\nok`);
    expect(await caller.whenClosed).toMatch(/ok$/);
    expect(target.countConnections()).toBe(1);
  });
});

describe('a request whose connection waited to be accepted', () => {
  // Guards against work for callers that left while their connections waited: the event loop accepts one per turn.
  it('is not sent to a target if its caller has left meanwhile', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const first = sendRequest(router, '/nonIdempotent/first', CLOSE_HEADER);
    const { socket } = await target.nextRequest();
    socket.write(`${RESPONSE_HEAD}Content-Length: 2\r\n\r\nok`);
    await first.whenClosed;
    await using turns = startBusyEventLoop();
    const idle = Array.from({ length: CONNECTIONS_AHEAD }, () => connectTo(router));
    sendAndDisconnect(router, '/nonIdempotent/left');
    const caller = sendRequest(router, '/nonIdempotent/stayed', CLOSE_HEADER);
    const request = await target.nextRequest();
    expect(turns.count()).toBeGreaterThan(CONNECTIONS_AHEAD);
    expect(request.head).toContain('/nonIdempotent/stayed');
    request.socket.write(`${RESPONSE_HEAD}Content-Length: 2\r\n\r\nok`);
    expect(await caller.whenClosed).toMatch(/ok$/);
    idle.forEach((one) => one.destroy());
  });

  // Guards against targets that get more time than the caller has left, since the wait to be accepted was not counted.
  it('is sent with its remaining time reduced by half of the time that it may have waited', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    await using turns = startBusyEventLoop();
    const idle = Array.from({ length: CONNECTIONS_AHEAD }, () => connectTo(router));
    const caller = sendRequest(router, '/nonIdempotent/x', CLOSE_HEADER);
    const request = await target.nextRequest();
    expect(turns.count()).toBeGreaterThan(CONNECTIONS_AHEAD);
    const waitedMs = CONNECTIONS_AHEAD * BUSY_TURN_MS;
    expect(Number(request.getHeader('Left'))).toBeLessThan(ROUTE_TIMEOUT_MS - waitedMs / 2);
    request.socket.write(`${RESPONSE_HEAD}Content-Length: 2\r\n\r\nok`);
    expect(await caller.whenClosed).toMatch(/ok$/);
    idle.forEach((one) => one.destroy());
  });
});

describe('a send that is decided right after the event loop was blocked', () => {
  // Guards against work for callers that left: a slot becomes free while the ends of the connections of queued callers are
  // still unread.
  it('is not started if its caller has left meanwhile', async () => {
    await using target = await startRawTarget();
    const queued: string[] = [];
    await using router = await startTestRouter([target], {
      slots: 2,
      logger: {
        ...silentLogger,
        writeDecision: (line) => {
          if (line.name === 'requestQueued') {
            queued.push(line.fields.route);
          }
        },
      },
    });
    // Two idle connections remain; while the target has a single slot, only one of them is used.
    const two = [1, 2].map(() => sendRequest(router, '/nonIdempotent/first', CLOSE_HEADER));
    const [one, other] = [await target.nextRequest(), await target.nextRequest()];
    one.socket.write(`${RESPONSE_HEAD}Content-Length: 2\r\n\r\nok`);
    other.socket.write(`${RESPONSE_HEAD}Content-Length: 2\r\n\r\nok`);
    await Promise.all(two.map(({ whenClosed }) => whenClosed));
    router.listTargets({ slots: 1 });
    const running = sendRequest(router, '/nonIdempotent/running', CLOSE_HEADER);
    const { socket } = await target.nextRequest();
    const waiting = sendRequest(router, '/idempotent/left');
    await vi.waitUntil(() => queued.includes('idempotent'));
    waiting.socket.destroy();
    blockEventLoop(BLOCKED_MS);
    router.listTargets({ slots: 2 });
    await waiting.whenClosed;
    const caller = sendRequest(router, '/nonIdempotent/stayed', CLOSE_HEADER);
    const request = await target.nextRequest();
    expect(request.head).toContain('/nonIdempotent/stayed');
    request.socket.write(`${RESPONSE_HEAD}Content-Length: 2\r\n\r\nok`);
    expect(await caller.whenClosed).toMatch(/ok$/);
    socket.write(`${RESPONSE_HEAD}Content-Length: 2\r\n\r\nok`);
    expect(await running.whenClosed).toMatch(/ok$/);
  });
});

describe('a response that is cut off', () => {
  it('is retried at another target if the request allows it, and arrives complete', async () => {
    const queue = new RequestQueue();
    await using first = await startRawTarget(queue);
    await using second = await startRawTarget(queue);
    await using router = await startTestRouter([first, second]);
    const caller = sendRequest(router, '/idempotent/x', CLOSE_HEADER);
    const request = await queue.next();
    request.socket.end(`${RESPONSE_HEAD}Content-Length: 10\r\n\r\nhalf`);
    const again = await queue.next();
    again.socket.write(`${RESPONSE_HEAD}Content-Length: 5\r\n\r\nwhole`);
    const answer = await caller.whenClosed;
    expect(answer).toMatch(/whole$/);
    expect(answer).not.toContain('half');
  });

  it('never looks complete', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = sendRequest(router, '/stream/x');
    const { socket } = await target.nextRequest();
    socket.write(STREAM_HEAD + toChunk(toEvent(1)));
    await caller.waitForText('data: 1');
    socket.destroy();
    expect(await caller.whenClosed).not.toContain('\r\n0\r\n');
  });
});

describe('a resumable stream', () => {
  it('continues at another target after its last complete event, without gaps or duplicates', async () => {
    const queue = new RequestQueue();
    await using first = await startRawTarget(queue);
    await using second = await startRawTarget(queue);
    await using router = await startTestRouter([first, second]);
    const caller = sendRequest(router, '/resumableStream/x', CLOSE_HEADER);
    const request = await queue.next();
    request.socket.write(STREAM_HEAD + toChunk(toEvent(1)) + toChunk(`${toEvent(2)}id: 3\nda`));
    await caller.waitForText('data: 2');
    request.socket.destroy();
    const again = await queue.next();
    expect(again.getHeader('Last-Event-Id')).toBe('2');
    again.socket.write(`${STREAM_HEAD}${toChunk(toEvent(3) + toEvent(4))}0\r\n\r\n`);
    const answer = await caller.whenClosed;
    expect([...answer.matchAll(/data: (\d)/g)].map(([, id]) => id)).toEqual(['1', '2', '3', '4']);
    expect(answer).toMatch(/0\r\n\r\n$/);
  });
});

describe('a stream that is cut off before its first event', () => {
  it('adds nothing of its head to the response of the next target', async () => {
    const queue = new RequestQueue();
    await using first = await startRawTarget(queue);
    await using second = await startRawTarget(queue);
    await using router = await startTestRouter([first, second]);
    const caller = sendRequest(router, '/resumableStream/x', CLOSE_HEADER);
    const request = await queue.next();
    request.socket.write(STREAM_HEAD, () => request.socket.destroy());
    const again = await queue.next();
    again.socket.write(
      'HTTP/1.1 500 Internal Server Error\r\nAttempt: a1\r\nSeal: t\r\nContent-Length: 3\r\n\r\nbad',
    );
    const answer = await caller.whenClosed;
    expect(answer).toContain('HTTP/1.1 500');
    expect(answer).toContain('Seal: t');
  });
});

describe('a caller that leaves', () => {
  it('causes the connection to the target to be closed', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = sendRequest(router, '/nonIdempotent/x');
    const { socket } = await target.nextRequest();
    const closed = new Promise((resolve) => socket.once('close', resolve));
    caller.socket.end();
    await closed;
    await caller.whenClosed;
  });
});

describe('a body that is longer than the limit', () => {
  it('is refused without a connection to a target', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = sendRequest(router, '/nonIdempotent/x', 'Content-Length: 1001\r\n');
    caller.socket.write('x'.repeat(1_001));
    expect(await caller.whenClosed).toContain('HTTP/1.1 413');
    expect(target.countConnections()).toBe(0);
  });
});
