import type { EntryEvent } from '@parsleyhall/entry';
import type { WithoutStamp } from '../loop/withoutStamp.js';

/** An event of an entry before the loop puts the time on it. */
export type EntryEventBody = WithoutStamp<EntryEvent>;
