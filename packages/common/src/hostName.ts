import type { Branded } from './branded.js';

/** The name of a host. */
export type HostName = Branded<string, 'HostName'>;
