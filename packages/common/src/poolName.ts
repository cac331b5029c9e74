import type { Branded } from './branded.js';

/** Names a pool of targets that can stand in for one another. */
export type PoolName = Branded<string, 'PoolName'>;
