import { MS_PER_SECOND } from '@parsleyhall/common';

/** Digests that an entry sends to all others together, per second; it receives about as many. */
const DIGESTS_PER_SECOND = 400;

/** Time between two digests to each other entry, so that their cost does not grow with the number of entries. */
export const getDigestIntervalMs = (peerCount: number): number =>
  (peerCount * MS_PER_SECOND) / DIGESTS_PER_SECOND;
