import type { Branded } from './branded.js';

/** Identifies a grant: the incarnation of the side process and a counter; never reused. */
export type GrantId = Branded<string, 'GrantId'>;
