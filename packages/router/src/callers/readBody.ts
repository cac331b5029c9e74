import type { IncomingMessage } from 'node:http';

/** Reads a complete body. Calls back with undefined if it is longer than allowed, and not at all if it is cut off. */
export const readBody = (
  request: IncomingMessage,
  maxBytes: number,
  callback: (body: Buffer | undefined) => void,
): void => {
  const chunks: Buffer[] = [];
  let size = 0;
  request.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size <= maxBytes) {
      chunks.push(chunk);
    }
  });
  request.once('end', () => {
    callback(size > maxBytes ? undefined : Buffer.concat(chunks));
  });
};
