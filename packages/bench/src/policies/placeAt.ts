import type { Placement, SideLink } from '@parsleyhall/entry';

/** Places a request at one side process and no other. */
export const placeAt = (link: SideLink | undefined): Placement => ({
  first: link === undefined ? [] : [link.side],
  later: [],
});
