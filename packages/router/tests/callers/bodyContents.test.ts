import { createHash, randomBytes } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { expect, test } from 'vitest';
import { createCallersServer } from '../../src/callers/createCallersServer.js';
import { readBody } from '../../src/callers/readBody.js';
import { createTestLimits } from '../support/createTestLimits.js';

const CALLERS = 40;
const BODY_TIMEOUT_MS = 60_000;
/** Bodies of a connection, in bytes: below, at and beyond the sizes of slices and blocks. */
const BODY_BYTES = [10, 8_192, 30_000, 200_000, 1, 65_536, 90_000] as const;

const hash = (parts: Iterable<Buffer>): string => {
  const sum = createHash('sha256');
  for (const part of parts) {
    sum.update(part);
  }
  return sum.digest('hex');
};

const writeChunk = (bytes: Buffer): Buffer =>
  Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')]);

const writeBody = (body: Buffer, isChunked: boolean): Buffer => {
  const middle = Math.floor(body.length / 3);
  return isChunked
    ? Buffer.concat([
        Buffer.from('Transfer-Encoding: chunked\r\n\r\n'),
        ...[body.subarray(0, middle), body.subarray(middle)]
          .filter(({ length }) => length > 0)
          .map(writeChunk),
        Buffer.from('0\r\n\r\n'),
      ])
    : Buffer.concat([Buffer.from(`Content-Length: ${body.length}\r\n\r\n`), body]);
};

// Guards against memory that is used for other bytes while a body still refers to it.
test.each([
  ['announced', false],
  ['in chunks', true],
])('the bodies of many pipelined requests, %s, arrive as they were sent', async (_, isChunked) => {
  const options = createTestLimits();
  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    readBody({
      request,
      account: options.memory.getAccount(request.socket),
      maxBytes: options.getMaxBodyBytes(),
      timeoutMs: BODY_TIMEOUT_MS,
      handleBody: (body) => {
        response.once('close', body.release);
        setImmediate(() => response.end(`<${hash(body.copyParts())}>`));
      },
      handleFailure: (reason) => {
        response.end(reason);
      },
    });
  };
  await using server = createCallersServer({
    ...options,
    recordConnection: () => undefined,
    handle,
  });
  const [host = '', port = ''] = (await server.listen('127.0.0.1:0')).split(':');
  const play = async (): Promise<void> => {
    const bodies = BODY_BYTES.map((length) => randomBytes(length));
    const socket = connect({ host, port: Number(port) });
    const received = new Promise<readonly string[]>((resolve) => {
      let text = '';
      socket.on('data', (bytes) => {
        text += bytes.toString('latin1');
        const hashes = [...text.matchAll(/<(\w+)>/g)].map(([, found = '']) => found);
        if (hashes.length === bodies.length) {
          resolve(hashes);
        }
      });
    });
    bodies.forEach((body) => {
      socket.write('POST / HTTP/1.1\r\nHost: a\r\n');
      socket.write(writeBody(body, isChunked));
    });
    expect(await received).toEqual(bodies.map((body) => hash([body])));
    socket.destroy();
  };
  await Promise.all(Array.from({ length: CALLERS }, play));
});
