import { BinaryWriter } from '@bufbuild/protobuf/wire';
import { encodeFrameContent } from './encodeFrameContent.js';
import { encodeSender } from './encodeSender.js';
import type { FrameContent } from './frameContent.js';
import type { FrameHeader } from './frameHeader.js';
import type { NameTable } from './nameTable.js';

/** Encodes a digest with its sender. */
export const encodeFrame = (
  { sender, frameNumber }: FrameHeader,
  content: FrameContent,
  names: NameTable,
): Uint8Array =>
  new BinaryWriter()
    .bytes(encodeSender(sender))
    .uint32(frameNumber)
    .raw(encodeFrameContent(content, names, frameNumber))
    .finish();
