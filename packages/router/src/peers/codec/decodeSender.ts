import { isIPv4 } from 'node:net';
import { BinaryReader } from '@bufbuild/protobuf/wire';
import type { Sender } from './sender.js';

/** Decodes the sender of a frame; throws if it is malformed. */
export const decodeSender = (bytes: Uint8Array): Sender => {
  const reader = new BinaryReader(bytes);
  const sender = {
    host: reader.string(),
    dataCentre: reader.string(),
    ip: reader.string(),
    incarnation: Number(reader.uint64()),
  };
  if (!isIPv4(sender.ip) || !Number.isSafeInteger(sender.incarnation)) {
    throw new RangeError('the sender of a frame is malformed');
  }
  return sender;
};
