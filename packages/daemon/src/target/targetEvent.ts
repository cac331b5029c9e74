import type { SideEvent } from '@parsleyhall/side';
import type { SideEventBody } from '../sideProcess/sideEventBody.js';

/** Events of the side process's reducer that come from the target. */
export type TargetEvent = Extract<
  SideEventBody,
  {
    readonly type: Extract<
      SideEvent['type'],
      'targetHead' | 'targetBytes' | 'targetEnd' | 'targetFailed' | 'targetUnknown'
    >;
  }
>;
