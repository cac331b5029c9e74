import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { expect, test } from 'vitest';
import { discardRequest } from '../../src/callers/discardRequest.js';

// Guards against an object for each part of a body that nobody reads: small parts take far more memory than their bytes.
test('nothing is kept of the body of a discarded request', () => {
  const request = new IncomingMessage(new Socket());
  request.rawHeaders = ['Host', 'a'];
  discardRequest(request);
  expect(request.push(Buffer.from('x'))).toBe(true);
  expect(request.readableLength).toBe(0);
  expect(request.rawHeaders).toEqual([]);
});
