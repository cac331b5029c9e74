const GOLDEN_RATIO = 0x9e3779b1;
const RADIX = 36;

/** The text of one token of an answer, from the answer's seed and the token's place. */
export const getAnswerToken = (seed: number, place: number): string => {
  let mixed = (seed + Math.imul(place + 1, GOLDEN_RATIO)) >>> 0;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35) >>> 0;
  return ` ${mixed.toString(RADIX)}`;
};
