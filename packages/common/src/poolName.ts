import type { Branded } from './branded.js';

/** The name of a pool: targets that are interchangeable. */
export type PoolName = Branded<string, 'PoolName'>;
