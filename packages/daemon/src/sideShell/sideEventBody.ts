import type { SideEvent } from '@parsleyhall/side';
import type { WithoutStamp } from '../loop/withoutStamp.js';

/** An event of a side process before the loop puts the time on it. */
export type SideEventBody = WithoutStamp<SideEvent>;
