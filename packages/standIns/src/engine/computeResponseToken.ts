const GOLDEN_RATIO_MULTIPLIER = 0x9e3779b1;
const TOKEN_TEXT_RADIX = 36;

/** Computes the text of one token from the seed of the response and the index of the token. */
export const computeResponseToken = (seed: number, tokenIndex: number): string => {
  let hash = (seed + Math.imul(tokenIndex + 1, GOLDEN_RATIO_MULTIPLIER)) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35) >>> 0;
  return ` ${hash.toString(TOKEN_TEXT_RADIX)}`;
};
