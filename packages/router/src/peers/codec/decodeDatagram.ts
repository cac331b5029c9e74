import { BinaryReader } from '@bufbuild/protobuf/wire';
import { Left, Right } from 'purify-ts/Either';
import type { Either } from 'purify-ts/Either';
import { DATAGRAM_VERSION } from './datagramVersion.js';
import { decodeSender } from './decodeSender.js';
import { DELIVERIES } from './deliveries.js';
import type { Frame } from './frame.js';
import type { ReceivedDatagram } from './receivedDatagram.js';
import type { UnreadableDatagram } from './unreadableDatagram.js';

const createMalformed = (detail: string): Either<UnreadableDatagram, never> =>
  Left({ type: 'malformed', detail });

const readFrame = (reader: BinaryReader, readSender: typeof decodeSender): Frame => {
  const delivery = DELIVERIES[reader.uint32()];
  const frameBytes = reader.uint32();
  const start = reader.pos;
  const end = start + frameBytes;
  if (delivery === undefined || end > reader.len) {
    throw new RangeError('a delivery is unknown or a frame is cut off');
  }
  const sender = readSender(reader.bytes());
  const frameNumber = reader.uint32();
  const contentStart = reader.pos;
  if (contentStart > end) {
    throw new RangeError('the header of a frame is cut off');
  }
  reader.pos = end;
  return { delivery, header: { sender, frameNumber }, start, contentStart, end };
};

const readFrames = (reader: BinaryReader, readSender: typeof decodeSender): readonly Frame[] => {
  const frames: Frame[] = [];
  while (reader.pos < reader.len) {
    frames.push(readFrame(reader, readSender));
  }
  return frames;
};

/** Splits a datagram into its frames and decodes their headers. */
export const decodeDatagram = (
  bytes: Uint8Array,
  readSender = decodeSender,
): Either<UnreadableDatagram, ReceivedDatagram> => {
  const version = bytes[0];
  if (version === undefined) {
    return createMalformed('the datagram is empty');
  }
  if (version !== DATAGRAM_VERSION) {
    return Left({ type: 'version', version });
  }
  const reader = new BinaryReader(bytes);
  try {
    reader.uint32();
    const frames = readFrames(reader, readSender);
    return frames.length === 0
      ? createMalformed('the datagram has no frame')
      : Right({ reader, frames });
  } catch (error) {
    return createMalformed(String(error));
  }
};
