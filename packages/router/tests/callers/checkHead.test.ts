import { Socket } from 'node:net';
import { expect, test } from 'vitest';
import { checkHead } from '../../src/callers/checkHead.js';
import type { TrackedConnection } from '../../src/callers/trackedConnection.js';
import { createTestLimits } from '../support/createTestLimits.js';

const SECOND_MS = 1_000;

const createTestConnection = ({ hasBeenUsed }: { readonly hasBeenUsed: boolean }) => {
  const { memory, observer } = createTestLimits();
  const dismissed: string[] = [];
  const socket = new Socket();
  socket.on('error', () => undefined);
  let parsedBytes = 100;
  const connection: TrackedConnection = {
    openRequests: [],
    account: memory.open(socket, () => undefined),
    hasBeenUsed,
    isClosing: false,
    hasCallerLeft: false,
    idleSinceMs: 0,
    parsedBytesWhenIdle: 100,
    lateRequests: 0,
  };
  return {
    memory,
    dismissed,
    receive: (bytes: number) => {
      parsedBytes += bytes;
    },
    checkAt: (nowMs: number) => {
      checkHead(
        socket,
        connection,
        { nowMs, parsedBytes },
        { ...observer, reportDismissal: (_, reason) => dismissed.push(reason) },
      );
    },
  };
};

// Guards against a time limit that includes the time in which an ordinary caller's connection was idle.
test('the time of a head begins with its first byte', () => {
  const { dismissed, receive, checkAt } = createTestConnection({ hasBeenUsed: true });
  checkAt(12 * SECOND_MS);
  receive(10);
  checkAt(13 * SECOND_MS);
  checkAt(15 * SECOND_MS);
  expect(dismissed).toEqual([]);
  checkAt(23 * SECOND_MS + 1);
  expect(dismissed).toEqual(['headTooSlow']);
});

// Guards against connections that never send anything and stay open.
test('the time of a first head begins with the connection', () => {
  const { dismissed, checkAt } = createTestConnection({ hasBeenUsed: false });
  checkAt(10 * SECOND_MS);
  expect(dismissed).toEqual([]);
  checkAt(10 * SECOND_MS + 1);
  expect(dismissed).toEqual(['headTooSlow']);
});

// Guards against incomplete heads that are kept without being counted.
test('an incomplete head is counted', () => {
  const { memory, receive, checkAt } = createTestConnection({ hasBeenUsed: true });
  receive(60_000);
  checkAt(SECOND_MS);
  expect(memory.countHeldBytes()).toBe(60_000);
});
