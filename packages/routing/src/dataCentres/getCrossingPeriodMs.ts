import { getDigestIntervalMs } from '../peers/getDigestIntervalMs.js';

/** Digests are sent at most once per tick of the process. */
const MIN_PERIOD_MS = 50;

/** The time in which the sends of other entries are not seen, in milliseconds. */
export const getCrossingPeriodMs = (peerCount: number): number =>
  Math.max(MIN_PERIOD_MS, getDigestIntervalMs(peerCount));
