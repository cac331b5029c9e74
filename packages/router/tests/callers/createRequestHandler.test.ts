import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { expect, test } from 'vitest';
import { createRequestHandler } from '../../src/callers/createRequestHandler.js';
import { createMemoryBudget } from '../../src/memory/createMemoryBudget.js';
import { createTestLimits } from '../support/createTestLimits.js';
import { silentLogger } from '../support/silentLogger.js';

/** More than a request takes while its body is read, and less than what it takes when it starts. */
const LIMIT_BYTES = 5_000;

// Guards against a request that runs although its connection gave way for its own bytes, and was refused with a 503.
test('a request whose connection gives way at its start is refused and does not run', () => {
  const given: boolean[] = [];
  let added = 0;
  const memory = createMemoryBudget({ getLimitBytes: () => LIMIT_BYTES, getNowMs: () => 0 });
  const request = new IncomingMessage(new Socket());
  memory.open(request.socket, ({ isServing }) => given.push(isServing));
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
        start();
      },
    },
    memory,
    limits,
    observer,
  });
  handle(request, new ServerResponse(request));
  request.push(null);
  request.read();
  return new Promise<void>((resolve) => {
    setImmediate(resolve);
  }).then(() => {
    expect([given, added]).toEqual([[false], 0]);
  });
});
