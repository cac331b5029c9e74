import { once } from 'node:events';
import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { expect, test } from 'vitest';
import { createRequestHandler } from '../../src/callers/createRequestHandler.js';
import { createMemoryBudget } from '../../src/memory/createMemoryBudget.js';
import { sharedBlockPool } from '../../src/memory/sharedBlockPool.js';
import { createTestLimits } from '../support/createTestLimits.js';
import { silentLogger } from '../support/silentLogger.js';

/** More than a small request takes while its body is read, and less than what it takes when it starts. */
const LIMIT_BYTES = 5_000;

const createWorld = (limitBytes: number) => {
  let nowMs = 0;
  const memory = createMemoryBudget({ getLimitBytes: () => limitBytes, getNowMs: () => nowMs });
  const closed: boolean[] = [];
  const waiting: (() => void)[] = [];
  let added = 0;
  const { limits, observer, getMaxBodyBytes } = createTestLimits();
  const handle = createRequestHandler({
    codec: {
      readRequestHeaders: () => ({}),
      reservedHeaders: new Set(),
      writeRequestHeaders: () => [],
      eventFormat: { isNumbered: true, firstNumber: 1, isIdFirst: true, extraFields: new Set() },
      readResponseHeaders: () => ({ isSigned: false, isNotRun: false, isLeaving: false }),
    },
    requests: {
      add: () => {
        added += 1;
      },
      startSend: () => undefined,
      cancelSend: () => undefined,
      refuse: () => undefined,
      abort: () => undefined,
      [Symbol.asyncDispose]: () => Promise.resolve(),
    },
    shutdown: {
      isShuttingDown: () => false,
      isRefusingRequests: () => false,
      start: () => undefined,
      whenStopped: Promise.resolve(),
    },
    logger: silentLogger,
    getMaxBodyBytes,
    getEarliestArrivalAtMs: () => 0,
    startQueue: {
      startOrEnqueue: ({ start }) => {
        waiting.push(start);
      },
    },
    memory,
    limits,
    observer,
  });
  return {
    memory,
    closed,
    countAdded: () => added,
    pass: (ms: number) => {
      nowMs += ms;
    },
    startWaiting: () => {
      waiting.splice(0).forEach((start) => {
        start();
      });
    },
    /** Reads a request with this body; it waits to be started. */
    read: async (body: Buffer) => {
      const request = new IncomingMessage(new Socket());
      memory.open(request.socket, ({ isServing }) => closed.push(isServing));
      handle(request, new ServerResponse(request));
      const ended = once(request, 'end');
      request.push(body);
      request.push(null);
      request.complete = true;
      request.resume();
      await ended;
      return request;
    },
  };
};

// Guards against a request that runs although its connection gave way for its own bytes, and was refused with a 503.
test('a request whose connection gives way at its start is refused and does not run', async () => {
  const { read, startWaiting, closed, countAdded } = createWorld(LIMIT_BYTES);
  await read(Buffer.alloc(0));
  startWaiting();
  expect([closed, countAdded()]).toEqual([[false], 0]);
});

// Guards against bodies of refused requests that stay in memory as long as their connections, which close a second later.
test('the body of a request that gives way before its start is released at once', async () => {
  const { read, memory, closed, pass } = createWorld(1_000_000);
  const block = sharedBlockPool.take();
  sharedBlockPool.release(block);
  await read(Buffer.alloc(70_000));
  pass(60_000);
  const other = memory.open(new Socket(), () => undefined);
  other.hold('head', 1_000_000);
  expect(closed).toEqual([false]);
  const free = [sharedBlockPool.take(), sharedBlockPool.take()];
  expect(free).toContain(block);
});

// Guards against the bytes of other bodies in a request that runs.
test('the body of a request that was started is kept until its response is closed', async () => {
  const { read, startWaiting, memory, closed, countAdded } = createWorld(1_000_000);
  const block = sharedBlockPool.take();
  sharedBlockPool.release(block);
  const request = await read(Buffer.alloc(70_000));
  startWaiting();
  expect(countAdded()).toBe(1);
  memory.getAccount(request.socket).hold('unreadResponse', 1_000_000);
  expect(closed).toEqual([true]);
  const free = [sharedBlockPool.take(), sharedBlockPool.take()];
  expect(free).not.toContain(block);
});
