import type { SideEvent } from '@parsleyhall/side';
import type { WithoutTimestamps } from '../eventLoop/withoutTimestamps.js';

/** An event of a side process without the timestamp that the event loop adds. */
export type SideEventBody = WithoutTimestamps<SideEvent>;
