import type { BinaryWriter } from '@bufbuild/protobuf/wire';

/** Writes an IPv4 address in four bytes. */
export const writeAddress = (writer: BinaryWriter, address: string): void => {
  const [first, second, third, fourth] = address.split('.');
  writer.raw(Uint8Array.of(Number(first), Number(second), Number(third), Number(fourth)));
};
