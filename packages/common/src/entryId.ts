import type { Branded } from './branded.js';

/** Names an entry process by its settings; the same after a restart. */
export type EntryId = Branded<string, 'EntryId'>;
