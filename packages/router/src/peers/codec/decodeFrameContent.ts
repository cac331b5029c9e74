import type { BinaryReader } from '@bufbuild/protobuf/wire';
import { toOptionalField } from '@parsleyhall/common';
import type { DecodedContent } from './decodedContent.js';
import { FIELD_NUMBERS } from './fieldNumbers.js';
import { FLAG_BITS } from './flagBits.js';
import type { Frame } from './frame.js';
import type { NamedCounts } from './namedCounts.js';
import type { NameTable } from './nameTable.js';
import { parseRareParts } from './parseRareParts.js';
import type { RareParts } from './rareParts.js';
import { readAddresses } from './readAddresses.js';
import { readCounts } from './readCounts.js';
import { readHashes } from './readHashes.js';
import { readNumber } from './readNumber.js';
import { readTokens } from './readTokens.js';

const NO_COUNTS: NamedCounts = { counts: {}, unresolved: 0 };

/** Decodes the content of a frame; throws if it is malformed. */
export const decodeFrameContent = (
  reader: BinaryReader,
  { header: { sender }, contentStart, end }: Frame,
  names: NameTable,
): DecodedContent => {
  reader.pos = contentStart;
  let sequence: number | undefined;
  let configurationVersion: number | undefined;
  let flags = 0;
  let inFlight = NO_COUNTS;
  let quotaTaken = NO_COUNTS;
  let heldTokens: NamedCounts | undefined;
  let pendingTokens: NamedCounts | undefined;
  let rareParts: RareParts = { quotaRecent: {} };
  let wantsDirect: readonly number[] = [];
  let knownAddresses: readonly string[] = [];
  while (reader.pos < end) {
    const [field, wireType] = reader.tag();
    switch (field) {
      case FIELD_NUMBERS.sequence:
        sequence = reader.uint32();
        break;
      case FIELD_NUMBERS.configurationVersion:
        reader.uint32();
        configurationVersion = readNumber(reader);
        break;
      case FIELD_NUMBERS.flags:
        flags = reader.uint32();
        break;
      case FIELD_NUMBERS.inFlight:
        inFlight = readCounts(reader, names);
        break;
      case FIELD_NUMBERS.quotaTaken:
        quotaTaken = readCounts(reader, names);
        break;
      case FIELD_NUMBERS.heldTokens:
        heldTokens = readTokens(reader, names);
        break;
      case FIELD_NUMBERS.pendingTokens:
        pendingTokens = readTokens(reader, names);
        break;
      case FIELD_NUMBERS.rareParts:
        rareParts = parseRareParts(reader.string());
        break;
      case FIELD_NUMBERS.wantsDirect:
        wantsDirect = readHashes(reader.bytes());
        break;
      case FIELD_NUMBERS.knownAddresses:
        knownAddresses = readAddresses(reader);
        break;
      default:
        reader.skip(wireType);
    }
  }
  if (reader.pos !== end) {
    throw new RangeError('a frame has a wrong length');
  }
  if (sequence === undefined || !Number.isSafeInteger(configurationVersion)) {
    throw new RangeError('a required field of a digest is missing or malformed');
  }
  return {
    digest: {
      host: sender.host,
      incarnation: sender.incarnation,
      sequence,
      configurationVersion: configurationVersion ?? 0,
      inFlight: inFlight.counts,
      quotaTaken: quotaTaken.counts,
      ...toOptionalField('heldTokens', heldTokens?.counts),
      ...toOptionalField('pendingTokens', pendingTokens?.counts),
      ...rareParts,
      tellsRecent: (flags & FLAG_BITS.tellsRecent) !== 0,
      knowsWindow: (flags & FLAG_BITS.knowsWindow) !== 0,
      isLeaving: (flags & FLAG_BITS.isLeaving) !== 0,
    },
    knownAddresses,
    wantsDirect,
    wantsAllDirect: (flags & FLAG_BITS.wantsAllDirect) !== 0,
    lacksNames: (flags & FLAG_BITS.lacksNames) !== 0,
    unresolvedTargets:
      inFlight.unresolved + (heldTokens?.unresolved ?? 0) + (pendingTokens?.unresolved ?? 0),
    unresolvedTeams: quotaTaken.unresolved,
  };
};
