import { BinaryWriter, WireType } from '@bufbuild/protobuf/wire';
import { FIELD_NUMBERS } from './fieldNumbers.js';
import { FLAG_BITS } from './flagBits.js';
import type { FrameContent } from './frameContent.js';
import type { NameTable } from './nameTable.js';
import { selectRareParts } from './selectRareParts.js';
import { writeAddress } from './writeAddress.js';
import { writeCounts } from './writeCounts.js';
import { writeNumber } from './writeNumber.js';

type Counts = Readonly<Record<string, number>>;

const getFlags = ({ digest, lacksNames, wantsAllDirect }: FrameContent): number =>
  (digest.tellsRecent ? FLAG_BITS.tellsRecent : 0) |
  (digest.knowsWindow ? FLAG_BITS.knowsWindow : 0) |
  (digest.isLeaving ? FLAG_BITS.isLeaving : 0) |
  (lacksNames ? FLAG_BITS.lacksNames : 0) |
  (wantsAllDirect ? FLAG_BITS.wantsAllDirect : 0);

/** Encodes the content of a frame as numbered fields. */
export const encodeFrameContent = (
  content: FrameContent,
  names: NameTable,
  frameNumber: number,
): Uint8Array => {
  const { digest, wantsDirect, knownAddresses } = content;
  const writer = new BinaryWriter();
  const beginBytes = (field: number): BinaryWriter => writer.tag(field, WireType.LengthDelimited);
  const writeOptionalCounts = (field: number, counts: Counts | undefined): void => {
    if (counts !== undefined) {
      beginBytes(field).bytes(writeCounts(counts, names, frameNumber));
    }
  };
  const writeCountsField = (field: number, counts: Counts): void => {
    writeOptionalCounts(field, Object.keys(counts).length > 0 ? counts : undefined);
  };

  writer.tag(FIELD_NUMBERS.sequence, WireType.Varint).uint32(digest.sequence);
  beginBytes(FIELD_NUMBERS.configurationVersion).fork();
  writeNumber(writer, digest.configurationVersion);
  writer.join();
  writer.tag(FIELD_NUMBERS.flags, WireType.Varint).uint32(getFlags(content));
  writeCountsField(FIELD_NUMBERS.inFlight, digest.inFlight);
  writeCountsField(FIELD_NUMBERS.quotaTaken, digest.quotaTaken);
  writeOptionalCounts(FIELD_NUMBERS.heldTokens, digest.heldTokens);
  writeOptionalCounts(FIELD_NUMBERS.pendingTokens, digest.pendingTokens);
  const rareParts = selectRareParts(digest);
  if (Object.keys(rareParts).length > 0) {
    beginBytes(FIELD_NUMBERS.rareParts).string(JSON.stringify(rareParts));
  }
  if (wantsDirect.length > 0) {
    beginBytes(FIELD_NUMBERS.wantsDirect).fork();
    wantsDirect.forEach((hash) => writer.fixed32(hash));
    writer.join();
  }
  if (knownAddresses.length > 0) {
    beginBytes(FIELD_NUMBERS.knownAddresses).fork();
    knownAddresses.forEach((address) => {
      writeAddress(writer, address);
    });
    writer.join();
  }
  return writer.finish();
};
