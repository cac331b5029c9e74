import { create, toBinary } from '@bufbuild/protobuf';
import { BatchSchema } from '../generated/link_pb.js';

/** Encodes messages, each encoded already, to be sent together in their order. */
export const encodeBatch = (messages: readonly Uint8Array[]): Uint8Array =>
  toBinary(BatchSchema, create(BatchSchema, { messages: [...messages] }));
