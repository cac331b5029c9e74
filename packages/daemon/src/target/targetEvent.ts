import type { SideEvent } from '@parsleyhall/side';
import type { SideEventBody } from '../sideShell/sideEventBody.js';

/** Events that come from the target. */
export type TargetEvent = Extract<
  SideEventBody,
  {
    readonly type: Extract<
      SideEvent['type'],
      'targetHead' | 'targetBytes' | 'targetEnd' | 'targetFailed' | 'targetUnknown'
    >;
  }
>;
