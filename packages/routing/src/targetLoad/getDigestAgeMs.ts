import { getDigestIntervalMs } from '../peers/getDigestIntervalMs.js';

/** Digests are sent on ticks, so they are no closer together than this. */
const MIN_DIGEST_INTERVAL_MS = 50;

/** The time by which each other entry has sent another digest, in milliseconds. */
export const getDigestAgeMs = (peerCount: number): number =>
  Math.max(MIN_DIGEST_INTERVAL_MS, getDigestIntervalMs(peerCount));
