import type { MethodDefinition } from '@grpc/grpc-js';

const toBuffer = (bytes: Uint8Array): Buffer =>
  Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);

const keepBytes = (bytes: Buffer): Uint8Array => bytes;

const link: MethodDefinition<Uint8Array, Uint8Array> = {
  path: '/parsleyhall.link.v1.EntrySide/Link',
  requestStream: true,
  responseStream: true,
  requestSerialize: toBuffer,
  requestDeserialize: keepBytes,
  responseSerialize: toBuffer,
  responseDeserialize: keepBytes,
};

/** The gRPC service of a side process; messages pass as bytes, so that a malformed one is an answer and no throw. */
export const linkService = { link } as const;
