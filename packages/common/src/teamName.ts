import type { Branded } from './branded.js';

/** The name of a team. */
export type TeamName = Branded<string, 'TeamName'>;
