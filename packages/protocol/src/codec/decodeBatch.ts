import { fromBinary } from '@bufbuild/protobuf';
import { Either } from 'purify-ts';
import { BatchSchema } from '../generated/link_pb.js';
import type { MalformedMessage } from './malformedMessage.js';

/** Takes a batch apart into its messages, each still encoded. */
export const decodeBatch = (bytes: Uint8Array): Either<MalformedMessage, readonly Uint8Array[]> =>
  Either.encase(() => fromBinary(BatchSchema, bytes).messages).mapLeft(() => ({
    type: 'malformedMessage',
    reason: 'undecodable',
    fields: [],
  }));
