import type { BinaryReader } from '@bufbuild/protobuf/wire';

const ADDRESS_BYTES = 4;

/** Reads a field of IPv4 addresses of four bytes each; throws if one is cut off. */
export const readAddresses = (reader: BinaryReader): readonly string[] => {
  const bytes = reader.bytes();
  if (bytes.length % ADDRESS_BYTES !== 0) {
    throw new RangeError('an address is cut off');
  }
  const addresses: string[] = [];
  for (let at = 0; at < bytes.length; at += ADDRESS_BYTES) {
    // Joining a view of the bytes takes many times as long.
    addresses.push(`${bytes[at]}.${bytes[at + 1]}.${bytes[at + 2]}.${bytes[at + 3]}`);
  }
  return addresses;
};
