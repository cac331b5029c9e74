const UINT32_VALUES = 2 ** 32;

/**
 * Mixes two 32-bit hashes into a number in (0, 1) that looks random and is the same for the same hashes. The constants
 * are those of the finalizer of MurmurHash3.
 */
export const getUniformNumber = (left: number, right: number): number => {
  let mixed = left ^ Math.imul(right, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (((mixed ^ (mixed >>> 16)) >>> 0) + 0.5) / UINT32_VALUES;
};
