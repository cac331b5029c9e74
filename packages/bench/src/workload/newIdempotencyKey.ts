import { v7 } from 'uuid';
import type { Random } from './random.js';

const RANDOM_BYTES = 16;
const BYTE_VALUES = 256;

/** A UUID of version 7 whose random part is drawn from the seed. */
export const newIdempotencyKey = (random: Random, wallMs: number): string => {
  const bytes = Uint8Array.from({ length: RANDOM_BYTES }, () =>
    Math.floor(random.next() * BYTE_VALUES),
  );
  return v7({ msecs: wallMs, random: bytes, seq: Math.floor(random.next() * 0x7fff_ffff) });
};
