import type { IncomingMessage } from 'node:http';

/** Reads a whole body; calls back with undefined where it is longer than allowed. A cut one never calls back. */
export const readBody = (
  request: IncomingMessage,
  maxBytes: number,
  take: (body: Buffer | undefined) => void,
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
    take(size > maxBytes ? undefined : Buffer.concat(chunks));
  });
};
