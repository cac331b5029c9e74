import type { Branded } from './branded.js';

/** Identifies a request from its arrival to its end; unique across all entries. */
export type RequestId = Branded<string, 'RequestId'>;
