const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/** A 32-bit FNV-1a hash of the text with a final mix; stable over processes and versions. */
export const computeFingerprint = (text: string): number => {
  let hash = OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};
