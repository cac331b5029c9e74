import type { EntryEvent } from '@parsleyhall/entry';
import type { WithoutTimestamps } from '../eventLoop/withoutTimestamps.js';

/** An event of an entry without the timestamps that the event loop adds. */
export type EntryEventBody = WithoutTimestamps<EntryEvent>;
