import { getDigestIntervalMs } from './getDigestIntervalMs.js';

const MIN_PEER_TIMEOUT_MS = 1_000;
/** Several digests in a row may be lost. */
const PEER_TIMEOUT_DIGESTS = 4;

/** How long an entry may be silent before it counts as lost. */
export const getPeerTimeoutMs = (peerCount: number): number =>
  Math.max(MIN_PEER_TIMEOUT_MS, PEER_TIMEOUT_DIGESTS * getDigestIntervalMs(peerCount));
