import { BinaryWriter } from '@bufbuild/protobuf/wire';
import { DATAGRAM_VERSION } from './datagramVersion.js';
import type { DeliveredFrame } from './deliveredFrame.js';
import { DELIVERIES } from './deliveries.js';

/** Encodes frames as one datagram. */
export const encodeDatagram = (frames: readonly DeliveredFrame[]): Uint8Array => {
  const writer = new BinaryWriter().uint32(DATAGRAM_VERSION);
  frames.forEach(({ delivery, bytes }) => {
    writer.uint32(DELIVERIES.indexOf(delivery)).bytes(bytes);
  });
  return writer.finish();
};
