import type { ServedShare } from './servedShare.js';

/** Time constant of the exponential decay of both sums. */
const DECAY_MS = 5_000;

/** Adds an arrived or a sent request to the sums of a group. */
export const countInShare = (
  share: ServedShare | undefined,
  counted: 'arrived' | 'sent',
  nowMs: number,
): ServedShare => {
  const { arrived, sent, atMs } = share ?? { arrived: 0, sent: 0, atMs: nowMs };
  const left = Math.exp(-Math.max(0, nowMs - atMs) / DECAY_MS);
  return {
    arrived: arrived * left + (counted === 'arrived' ? 1 : 0),
    sent: sent * left + (counted === 'sent' ? 1 : 0),
    atMs: nowMs,
  };
};
