import type { Branded } from './branded.js';

/** Names one grant: the side process incarnation and a counter; used once. */
export type GrantId = Branded<string, 'GrantId'>;
