import { rankByRendezvous } from '@parsleyhall/common';
import type { Placement, PlacementView } from '@parsleyhall/entry';
import { getReportedLoad } from './getReportedLoad.js';
import { placeAt } from './placeAt.js';

/** Takes the less loaded, by report, of two targets drawn by the request's id. */
export const chooseOfTwo = ({ request, candidates }: PlacementView): Placement => {
  const drawn = rankByRendezvous(
    request.requestId,
    candidates.map(({ side }) => side),
  ).slice(0, 2);
  const [first, second] = drawn.map((side) => candidates.find((link) => link.side === side));
  if (first === undefined || second === undefined) {
    return placeAt(first);
  }
  return placeAt(getReportedLoad(second) < getReportedLoad(first) ? second : first);
};
