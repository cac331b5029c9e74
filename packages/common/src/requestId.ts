import type { Branded } from './branded.js';

/** Names one request for its whole life; unique over all entries. */
export type RequestId = Branded<string, 'RequestId'>;
