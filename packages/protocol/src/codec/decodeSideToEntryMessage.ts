import { SideToEntrySchema } from '../generated/link_pb.js';
import { decodeWith } from './decodeWith.js';
import { sideToEntrySchema } from './sideToEntrySchema.js';

/** Decodes a message of a side process; whatever is no such message is a typed error. */
export const decodeSideToEntryMessage = decodeWith(
  SideToEntrySchema,
  (decoded) => decoded.body,
  sideToEntrySchema,
);
