import { parse, validate, version } from 'uuid';

const TIME_BYTES = 6;
const BYTE_VALUES = 256;

/** Wall-clock time at which a version 7 UUID was made, in milliseconds since 1970; undefined for any other text. */
export const getKeyTimeMs = (key: string): number | undefined => {
  if (!validate(key) || version(key) !== 7) {
    return undefined;
  }
  return parse(key)
    .slice(0, TIME_BYTES)
    .reduce((time, byte) => time * BYTE_VALUES + byte, 0);
};
