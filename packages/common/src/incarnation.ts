import type { Branded } from './branded.js';

/** Identifies one run of a process; a new one is generated at every start. */
export type Incarnation = Branded<string, 'Incarnation'>;
