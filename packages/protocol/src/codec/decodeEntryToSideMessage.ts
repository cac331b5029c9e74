import { EntryToSideSchema } from '../generated/link_pb.js';
import { decodeWith } from './decodeWith.js';
import { entryToSideSchema } from './entryToSideSchema.js';

/** Decodes a message of an entry; whatever is no such message is a typed error. */
export const decodeEntryToSideMessage = decodeWith(
  EntryToSideSchema,
  (decoded) => decoded.body,
  entryToSideSchema,
);
