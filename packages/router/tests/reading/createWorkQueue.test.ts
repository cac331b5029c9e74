import { Socket } from 'node:net';
import { expect, test } from 'vitest';
import { createWorkQueue } from '../../src/reading/createWorkQueue.js';
import type { PacedConnection } from '../../src/reading/pacedConnection.js';

const createConnection = (workMs: number): PacedConnection => ({
  socket: new Socket(),
  deliver: () => true,
  read: () => undefined,
  reportEarlyEnd: () => undefined,
  blocks: [],
  hasEnded: false,
  isReadDue: false,
  workMs,
});

// Guards against a turn that goes to those who came first, however much work they cause.
test('the connection that has caused the least work comes next', () => {
  const queue = createWorkQueue();
  const heavy = createConnection(30);
  const light = createConnection(10);
  queue.add(heavy);
  queue.add(light);
  expect([queue.takeNext(), queue.takeNext(), queue.takeNext()]).toEqual([light, heavy, undefined]);
});

// Guards against new connections that keep those that have waited longer from ever having a turn.
test('a new connection counts as one that has caused as much work as the others', () => {
  const queue = createWorkQueue();
  const first = createConnection(0);
  queue.add(first);
  queue.takeNext();
  first.workMs += 5;
  queue.add(first);
  queue.takeNext();
  first.workMs += 5;
  const late = createConnection(0);
  queue.add(late);
  expect(late.workMs).toBe(5);
  queue.add(first);
  expect(queue.takeNext()).toBe(late);
});

// Guards against a connection that waits very long because of work that nobody had to wait for.
test('work from quiet times counts up to a limit', () => {
  const queue = createWorkQueue();
  const old = createConnection(3_600_000);
  queue.add(old);
  expect(old.workMs).toBe(1_000);
});
