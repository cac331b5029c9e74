import type { Branded } from './branded.js';

/** Names a team. */
export type TeamName = Branded<string, 'TeamName'>;
