import type { IncomingMessage } from 'node:http';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import { createInvalidRequest } from '../problems/createInvalidRequest.js';
import type { InvalidRequest } from '../problems/invalidRequest.js';

/** Reads a request's body up to a size limit; a connection that closes meanwhile makes it a malformed request. */
export const readBody = (
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Either<InvalidRequest, Uint8Array>> => {
  const tooLarge = Left(createInvalidRequest('bodyTooLarge', `At most ${maximumBytes} bytes.`));
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
    return Promise.resolve(tooLarge);
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const addChunk = (chunk: Buffer): void => {
      length += chunk.length;
      if (length > maximumBytes) {
        request.off('data', addChunk);
        request.resume();
        resolve(tooLarge);
        return;
      }
      chunks.push(chunk);
    };
    request.on('data', addChunk);
    request.once('end', () => {
      resolve(Right(Buffer.concat(chunks)));
    });
    request.once('close', () => {
      resolve(Left(createInvalidRequest('malformedRequest', 'The connection was cut.')));
    });
    request.once('error', () => {
      resolve(Left(createInvalidRequest('malformedRequest', 'The body could not be read.')));
    });
  });
};
