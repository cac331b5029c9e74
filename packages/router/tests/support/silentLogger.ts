import type { LineWriter } from '../../src/index.js';

/** A logger that writes nothing. */
export const silentLogger: LineWriter = { write: () => undefined, observe: () => undefined };
