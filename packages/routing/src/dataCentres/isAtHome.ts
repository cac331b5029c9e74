import type { TargetPrediction } from '../targets/targetPrediction.js';
import type { Locality } from './locality.js';

/** Whether the target is in this entry's data centre. */
export const isAtHome = (
  { candidate: { target } }: TargetPrediction,
  { dataCentre }: Locality,
): boolean => target.listed.dataCentre === dataCentre;
