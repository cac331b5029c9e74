import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { expect, test } from 'vitest';
import { collectWaitingBody } from '../../src/callers/collectWaitingBody.js';

// Guards against bytes that are lost, moved or left behind when a request that waited is handled.
test.each([
  ['that has ended', ['a', 'bc', ''], true, []],
  ['that goes on', ['a', 'bc'], false, ['d', 'e']],
  ['of which nothing has arrived', [], false, ['d', 'e']],
  ['that is empty', [], true, []],
])('a body %s is read whole and in order', async (_, early, hasEnded, late) => {
  const request = new IncomingMessage(new Socket());
  const body = collectWaitingBody(request);
  early.forEach((part) => request.push(Buffer.from(part)));
  if (hasEnded) {
    request.push(null);
  }
  expect(request.readableLength).toBe(0);
  body.deliver();
  late.forEach((part) => request.push(Buffer.from(part)));
  if (!hasEnded) {
    request.push(null);
  }
  request.complete = true;
  expect(Buffer.concat(await request.toArray()).toString()).toBe([...early, ...late].join(''));
});

// Guards against parts of a few bytes that each take an object.
test('many small parts take little more memory than their bytes', () => {
  const request = new IncomingMessage(new Socket());
  const body = collectWaitingBody(request);
  Array.from({ length: 4_000 }, () => request.push(Buffer.from('x')));
  expect(body.getCapacity()).toBeGreaterThanOrEqual(4_000);
  expect(body.getCapacity()).toBeLessThanOrEqual(8_192);
});
