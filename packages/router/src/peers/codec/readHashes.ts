import { BinaryReader } from '@bufbuild/protobuf/wire';

/** Reads hashes of four bytes each; throws if one is cut off. */
export const readHashes = (bytes: Uint8Array): readonly number[] => {
  const reader = new BinaryReader(bytes);
  const hashes: number[] = [];
  while (reader.pos < reader.len) {
    hashes.push(reader.fixed32());
  }
  return hashes;
};
