import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { describe, expect, it, vi } from 'vitest';
import type { RunningRouter } from '../src/index.js';
import { RequestQueue } from './support/requestQueue.js';
import { startRawTarget } from './support/startRawTarget.js';
import { noLines } from './support/noLines.js';
import { startTestRouter } from './support/startTestRouter.js';

interface RawCaller {
  readonly socket: Socket;
  /** All that came, once the connection has ended. */
  readonly whenEnded: Promise<string>;
  /** Resolves once the text is among what came. */
  readonly waitFor: (text: string) => Promise<string>;
}

const call = (router: RunningRouter, path: string, headers = ''): RawCaller => {
  const [host = '', port = ''] = router.callersAddress.split(':');
  const socket = connect({ host, port: Number(port) });
  let seen = '';
  const checks = new Set<() => void>();
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    seen += bytes.toString('latin1');
    checks.forEach((check) => {
      check();
    });
  });
  socket.write(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\nAttempt: a1\r\n${headers}\r\n`);
  return {
    socket,
    whenEnded: new Promise((resolve) => {
      socket.once('close', () => {
        resolve(seen);
      });
    }),
    waitFor: (text) =>
      new Promise((resolve) => {
        const check = (): void => {
          if (seen.includes(text)) {
            checks.delete(check);
            resolve(seen);
          }
        };
        checks.add(check);
        check();
      }),
  };
};

const STALL_MS = 600;

const stallFor = (ms: number): void => {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
};

/** The time-out of the test's routes. */
const TIMEOUT_MS = 30_000;
const TURN_MS = 30;
/** Longer than a caller's close may go unnoticed, at one a turn. */
const CONNECTIONS_AHEAD = 25;

const connectTo = (router: RunningRouter): Socket => {
  const [host = '', port = ''] = router.callersAddress.split(':');
  const socket = connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  return socket;
};

const leaveAtOnce = (router: RunningRouter, path: string): void => {
  const socket = connectTo(router);
  socket.write(`GET ${path} HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt: a0\r\n\r\n`, () => {
    socket.destroy();
  });
};

/** Makes every turn of this thread's loop, which is the router's too, take its time. */
const startBusyTurns = (): AsyncDisposable & { readonly count: () => number } => {
  let turns = 0;
  let isOver = false;
  const turn = (): void => {
    if (isOver) {
      return;
    }
    turns += 1;
    stallFor(TURN_MS);
    setImmediate(turn);
  };
  setImmediate(turn);
  return {
    count: () => turns,
    [Symbol.asyncDispose]: () => {
      isOver = true;
      return Promise.resolve();
    },
  };
};

const CLOSE = 'Connection: close\r\n';
const HEAD = 'HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n';
const STREAM_HEAD = `${HEAD}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;

const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const toEvent = (id: number): string => `id: ${id}\ndata: ${id}\n\n`;

describe('an answer without a length', () => {
  it('is handed on without one, since its end proves nothing', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = call(router, '/nonIdempotent/x');
    const { socket } = await target.nextRequest();
    socket.end(`${HEAD}\r\nhalf`);
    const answer = (await caller.whenEnded).toLowerCase();
    expect(answer).toContain('200 ok');
    expect(answer).toContain('connection: close');
    expect(answer).toMatch(/\r\n\r\nhalf$/);
    expect(answer).not.toMatch(/content-length|transfer-encoding/);
  });

  it('is not complete where its connection was reset', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = call(router, '/nonIdempotent/x', CLOSE);
    const { socket } = await target.nextRequest();
    socket.write(`${HEAD}\r\nhalf`, () => {
      setImmediate(() => socket.resetAndDestroy());
    });
    expect(await caller.whenEnded).toContain('HTTP/1.1 502');
  });
});

// Guards against MIXED and against memory that grows: a target in trouble that sends bytes until it is left.
describe('bytes without end that are no answer', () => {
  const pour = (socket: Socket, bytes: string): Promise<void> =>
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
  /** Buffers on the way hold a few million bytes. */
  const MOST_BYTES = 33_554_432;
  const FILLER = 'x'.repeat(16_384);
  const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'.repeat(100);

  it.each([
    ['before a head', '', FILLER],
    ['in a head', `HTTP/1.1 200 OK\r\nAttempt: a1\r\nFiller: `, FILLER],
    ['as heads of no final answer', '', INTERIM],
    ['in an event that never ends', STREAM_HEAD, toChunk(`data: ${FILLER}`)],
    ['in the length of a piece', STREAM_HEAD, `1;${FILLER}`],
    ['in a body that bears no signature', `HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\n`, FILLER],
  ])('%s end their connection, and the caller is told', async (_, start, filler) => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = call(router, '/stream/x', CLOSE);
    const { socket } = await target.nextRequest();
    socket.write(start);
    await pour(socket, filler);
    expect(socket.bytesWritten).toBeLessThan(MOST_BYTES);
    expect(await caller.whenEnded).not.toContain('\r\n0\r\n');
  });
});

describe('bytes that belong to no request', () => {
  it('end their connection and reach nobody', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const first = call(router, '/nonIdempotent/x', CLOSE);
    const request = await target.nextRequest();
    request.socket.write(`${HEAD}Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n`);
    expect(await first.whenEnded).toMatch(/ok$/);
    const second = call(router, '/nonIdempotent/x', CLOSE);
    const next = await target.nextRequest();
    next.socket.write(`${HEAD}Content-Length: 3\r\n\r\nyes`);
    expect(await second.whenEnded).toMatch(/yes$/);
    expect(target.countConnections()).toBe(2);
  });

  it('are told apart by the attempt that they name', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = call(router, '/nonIdempotent/x', CLOSE);
    const { socket } = await target.nextRequest();
    socket.write('HTTP/1.1 200 OK\r\nAttempt: a0\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno');
    const answer = await caller.whenEnded;
    expect(answer).toContain('HTTP/1.1 502');
    expect(answer).toContain('outcomeUnknown');
  });
});

describe('a request that was read late', () => {
  it('is not passed on where its caller has left meanwhile', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const [host = '', port = ''] = router.callersAddress.split(':');
    const socket = connect({ host, port: Number(port) });
    await once(socket, 'connect');
    // The whole request and its end lie unread while this thread, which is the router's too, is busy.
    socket.write(`GET /nonIdempotent/left HTTP/1.1\r\nHost: ${host}\r\nAttempt: a0\r\n\r\n`);
    socket.destroy();
    stallFor(STALL_MS);
    const caller = call(router, '/nonIdempotent/stayed', CLOSE);
    const request = await target.nextRequest();
    expect(request.head).toContain('/nonIdempotent/stayed');
    request.socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    expect(await caller.whenEnded).toMatch(/ok$/);
    expect(target.countConnections()).toBe(1);
  });
});

describe('a request whose connection waited to be accepted', () => {
  // Guards against GONE: work for callers that left while their connections waited, one accepted a turn of the loop.
  it('is not passed on where its caller has left meanwhile', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const first = call(router, '/nonIdempotent/first', CLOSE);
    const { socket } = await target.nextRequest();
    socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    await first.whenEnded;
    await using turns = startBusyTurns();
    const idle = Array.from({ length: CONNECTIONS_AHEAD }, () => connectTo(router));
    leaveAtOnce(router, '/nonIdempotent/left');
    const caller = call(router, '/nonIdempotent/stayed', CLOSE);
    const request = await target.nextRequest();
    expect(turns.count()).toBeGreaterThan(CONNECTIONS_AHEAD);
    expect(request.head).toContain('/nonIdempotent/stayed');
    request.socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    expect(await caller.whenEnded).toMatch(/ok$/);
    idle.forEach((one) => one.destroy());
  });

  // Guards against CONFIG and BUDGET: targets that get more time than is left, since the wait was not counted.
  it('is passed on with the middle of what it may have waited taken off its time', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    await using turns = startBusyTurns();
    const idle = Array.from({ length: CONNECTIONS_AHEAD }, () => connectTo(router));
    const caller = call(router, '/nonIdempotent/x', CLOSE);
    const request = await target.nextRequest();
    expect(turns.count()).toBeGreaterThan(CONNECTIONS_AHEAD);
    const waitedMs = CONNECTIONS_AHEAD * TURN_MS;
    expect(Number(request.getHeader('Left'))).toBeLessThan(TIMEOUT_MS - waitedMs / 2);
    request.socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    expect(await caller.whenEnded).toMatch(/ok$/);
    idle.forEach((one) => one.destroy());
  });
});

describe('a send that is decided right after a stall', () => {
  // Guards against GONE: a place becomes free, and the ends of those that wait for one lie unread.
  it('does not leave where its caller has left meanwhile', async () => {
    await using target = await startRawTarget();
    const queued: string[] = [];
    await using router = await startTestRouter([target], {
      slots: 2,
      lines: {
        ...noLines,
        observe: (line) => {
          if (line.name === 'requestQueued') {
            queued.push(line.fields.route);
          }
        },
      },
    });
    // Two connections are kept, and with one place left only one of them is in use.
    const two = [1, 2].map(() => call(router, '/nonIdempotent/first', CLOSE));
    const [one, other] = [await target.nextRequest(), await target.nextRequest()];
    one.socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    other.socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    await Promise.all(two.map(({ whenEnded }) => whenEnded));
    router.listTargets({ slots: 1 });
    const running = call(router, '/nonIdempotent/running', CLOSE);
    const { socket } = await target.nextRequest();
    const waiting = call(router, '/idempotent/left');
    await vi.waitUntil(() => queued.includes('idempotent'));
    waiting.socket.destroy();
    stallFor(STALL_MS);
    router.listTargets({ slots: 2 });
    await waiting.whenEnded;
    const caller = call(router, '/nonIdempotent/stayed', CLOSE);
    const request = await target.nextRequest();
    expect(request.head).toContain('/nonIdempotent/stayed');
    request.socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    expect(await caller.whenEnded).toMatch(/ok$/);
    socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    expect(await running.whenEnded).toMatch(/ok$/);
  });
});

describe('a cut answer', () => {
  it('is asked for again elsewhere where it may, and comes whole', async () => {
    const queue = new RequestQueue();
    await using first = await startRawTarget(queue);
    await using second = await startRawTarget(queue);
    await using router = await startTestRouter([first, second]);
    const caller = call(router, '/idempotent/x', CLOSE);
    const request = await queue.next();
    request.socket.end(`${HEAD}Content-Length: 10\r\n\r\nhalf`);
    const again = await queue.next();
    again.socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
    const answer = await caller.whenEnded;
    expect(answer).toMatch(/whole$/);
    expect(answer).not.toContain('half');
  });

  it('never looks complete', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = call(router, '/stream/x');
    const { socket } = await target.nextRequest();
    socket.write(STREAM_HEAD + toChunk(toEvent(1)));
    await caller.waitFor('data: 1');
    socket.destroy();
    expect(await caller.whenEnded).not.toContain('\r\n0\r\n');
  });
});

describe('a resumable stream', () => {
  it('goes on at another target after its last whole event, without a gap or a repeat', async () => {
    const queue = new RequestQueue();
    await using first = await startRawTarget(queue);
    await using second = await startRawTarget(queue);
    await using router = await startTestRouter([first, second]);
    const caller = call(router, '/resumableStream/x', CLOSE);
    const request = await queue.next();
    request.socket.write(STREAM_HEAD + toChunk(toEvent(1)) + toChunk(`${toEvent(2)}id: 3\nda`));
    await caller.waitFor('data: 2');
    request.socket.destroy();
    const again = await queue.next();
    expect(again.getHeader('Last-Event-Id')).toBe('2');
    again.socket.write(`${STREAM_HEAD}${toChunk(toEvent(3) + toEvent(4))}0\r\n\r\n`);
    const answer = await caller.whenEnded;
    expect([...answer.matchAll(/data: (\d)/g)].map(([, id]) => id)).toEqual(['1', '2', '3', '4']);
    expect(answer).toMatch(/0\r\n\r\n$/);
  });
});

describe('a stream that was cut before its first event', () => {
  it('leaves nothing of its head to the answer of the next target', async () => {
    const queue = new RequestQueue();
    await using first = await startRawTarget(queue);
    await using second = await startRawTarget(queue);
    await using router = await startTestRouter([first, second]);
    const caller = call(router, '/resumableStream/x', CLOSE);
    const request = await queue.next();
    request.socket.write(STREAM_HEAD, () => request.socket.destroy());
    const again = await queue.next();
    again.socket.write(
      'HTTP/1.1 500 Internal Server Error\r\nAttempt: a1\r\nSeal: t\r\nContent-Length: 3\r\n\r\nbad',
    );
    const answer = await caller.whenEnded;
    expect(answer).toContain('HTTP/1.1 500');
    expect(answer).toContain('Seal: t');
  });
});

describe('a caller that leaves', () => {
  it('takes its request off the target', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = call(router, '/nonIdempotent/x');
    const { socket } = await target.nextRequest();
    const closed = new Promise((resolve) => socket.once('close', resolve));
    caller.socket.end();
    await closed;
    await caller.whenEnded;
  });
});

describe('a body beyond the limit', () => {
  it('is refused before any target sees it', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = call(router, '/nonIdempotent/x', 'Content-Length: 1001\r\n');
    caller.socket.write('x'.repeat(1_001));
    expect(await caller.whenEnded).toContain('HTTP/1.1 413');
    expect(target.countConnections()).toBe(0);
  });
});

describe('a planned stop', () => {
  it('answers what is under way and says that it is not ready', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = call(router, '/nonIdempotent/x');
    const { socket } = await target.nextRequest();
    expect((await fetch(`http://${router.readinessAddress}/ready`)).status).toBe(200);
    router.requestStop();
    expect((await fetch(`http://${router.readinessAddress}/ready`)).status).toBe(503);
    socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    const answer = await caller.whenEnded;
    expect(answer).toMatch(/ok$/);
    expect(answer.toLowerCase()).toContain('connection: close');
    await router.whenStopped;
  });
});

describe('a stream that outlasts the stop of listening', () => {
  it('ends its connection, so that no later request comes on it', async () => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = call(router, '/stream/x');
    const { socket } = await target.nextRequest();
    socket.write(STREAM_HEAD + toChunk(toEvent(1)));
    const head = await caller.waitFor('data: 1');
    expect(head.toLowerCase()).toContain('connection: keep-alive');
    router.requestStop();
    socket.write('0\r\n\r\n');
    expect(await caller.whenEnded).toMatch(/0\r\n\r\n$/);
    await router.whenStopped;
  });
});
