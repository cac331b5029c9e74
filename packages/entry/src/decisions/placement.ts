import type { SideId } from '@parsleyhall/common';

/** Where to reserve: at once, and after a short wait without a grant. */
export interface Placement {
  readonly first: readonly SideId[];
  readonly later: readonly SideId[];
}
