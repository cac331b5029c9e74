import type { Placement, PlacementView, SideLink } from '@parsleyhall/entry';
import { getReportedLoad } from './getReportedLoad.js';
import { placeAt } from './placeAt.js';

/** Takes the target of the least load by report. */
export const chooseLeastLoaded = ({ candidates }: PlacementView): Placement => {
  const [first, ...others] = candidates;
  const least = others.reduce<SideLink | undefined>(
    (best, link) =>
      best !== undefined && getReportedLoad(best) <= getReportedLoad(link) ? best : link,
    first,
  );
  return placeAt(least);
};
