import type { Send } from '../requests/send.js';
import type { Target } from '../targets/target.js';
import { getWorkTimeFactor } from './getWorkTimeFactor.js';

/**
 * The service time of a run, in milliseconds, without the momentary slowness of the target during it, so that a short
 * slow spell does not change what is known about the target's own speed.
 */
export const getOwnServiceTimeMs = (
  serviceTimeMs: number,
  { load }: Target,
  { workTimeFactor }: Send,
  nowMs: number,
): number => {
  if (load === undefined) {
    return serviceTimeMs;
  }
  const factorAtEnd = getWorkTimeFactor(load, nowMs);
  const factorAtStart = workTimeFactor ?? factorAtEnd;
  return (2 * serviceTimeMs) / (factorAtStart + factorAtEnd);
};
