import type { Branded } from './branded.js';

/** Identifies an entry process; taken from its settings, so it stays the same after a restart. */
export type EntryId = Branded<string, 'EntryId'>;
