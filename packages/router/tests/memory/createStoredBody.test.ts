import { expect, test } from 'vitest';
import { createBlockPool } from '../../src/memory/createBlockPool.js';
import { createByteCollector } from '../../src/memory/createByteCollector.js';

const collect = (bytes: Buffer) => {
  const pool = createBlockPool();
  const collector = createByteCollector(pool);
  collector.add(bytes);
  return { pool, body: collector.takeStored() };
};

// Guards against parts that are lost or sent in another order, at each send anew.
test.each([0, 1, 5_000, 65_535, 65_536, 200_000])('a body of %i bytes is read whole', (length) => {
  const bytes = Buffer.alloc(length, 'abcdefg');
  const { body } = collect(bytes);
  expect(body.length).toBe(length);
  expect(Buffer.concat([...body.copyParts()]).equals(bytes)).toBe(true);
  expect(Buffer.concat([...body.copyParts()]).equals(bytes)).toBe(true);
});

// Guards against bytes of another caller in a request that is still being written.
test('a part that was read keeps its bytes when its block is used again', () => {
  const { pool, body } = collect(Buffer.alloc(200_000, 'a'));
  const [first] = body.copyParts();
  body.release();
  pool.take().fill('b');
  expect(first?.equals(Buffer.alloc(first.length, 'a'))).toBe(true);
});

// Guards against bytes of another caller in the rest of a request whose body was released.
test('a body that is released is not read on', () => {
  const { body } = collect(Buffer.alloc(200_000, 'a'));
  const parts = body.copyParts()[Symbol.iterator]();
  parts.next();
  body.release();
  expect(() => parts.next()).toThrow('released');
});

// Guards against a block that two bodies get.
test('each block is released once', () => {
  const { pool, body } = collect(Buffer.alloc(70_000, 'a'));
  body.release();
  body.release();
  expect(pool.take()).not.toBe(pool.take());
});
