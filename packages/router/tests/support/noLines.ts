import type { LineWriter } from '../../src/index.js';

/** Writes nothing. */
export const noLines: LineWriter = { write: () => undefined, observe: () => undefined };
