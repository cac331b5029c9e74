import { BinaryWriter } from '@bufbuild/protobuf/wire';
import type { Sender } from './sender.js';

/** Encodes the sender of frames. */
export const encodeSender = ({ host, dataCentre, ip, incarnation }: Sender): Uint8Array =>
  new BinaryWriter().string(host).string(dataCentre).string(ip).uint64(incarnation).finish();
