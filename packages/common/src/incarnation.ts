import type { Branded } from './branded.js';

/** Names one life of a process; new at every start. */
export type Incarnation = Branded<string, 'Incarnation'>;
