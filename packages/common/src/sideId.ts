import type { Branded } from './branded.js';

/** Names a side process by its settings; the same after a restart. */
export type SideId = Branded<string, 'SideId'>;
