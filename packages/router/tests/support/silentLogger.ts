import type { Logger } from '../../src/index.js';

/** A logger that writes nothing. */
export const silentLogger: Logger = { write: () => undefined, writeDecision: () => undefined };
