import type { Placement, PlacementView } from '@parsleyhall/entry';
import { placeAt } from './placeAt.js';

/** Takes the targets in turn. */
export const chooseRoundRobin = ({ candidates, sequence }: PlacementView): Placement =>
  placeAt(candidates[sequence % candidates.length]);
