import type { Branded } from './branded.js';

/** Names a host. */
export type HostName = Branded<string, 'HostName'>;
