import type { Branded } from './branded.js';

/** Identifies a side process; taken from its settings, so it stays the same after a restart. */
export type SideId = Branded<string, 'SideId'>;
