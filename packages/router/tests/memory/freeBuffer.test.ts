import { setTimeout as wait } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { freeBuffer } from '../../src/memory/freeBuffer.js';

// Guards against memory that waits for the garbage collector, which is slow to come for large buffers.
test('the memory of a large buffer is free at once', async () => {
  await wait(1);
  const before = process.memoryUsage().arrayBuffers;
  for (let count = 0; count < 100; count += 1) {
    freeBuffer(Buffer.allocUnsafeSlow(1_000_000));
  }
  expect(process.memoryUsage().arrayBuffers - before).toBeLessThan(10_000_000);
});

// Guards against bytes of others that go with a small buffer, which shares its memory with them.
test('a small buffer is left alone', async () => {
  await wait(1);
  const buffer = Buffer.from('small');
  freeBuffer(buffer);
  expect(buffer.toString()).toBe('small');
});
