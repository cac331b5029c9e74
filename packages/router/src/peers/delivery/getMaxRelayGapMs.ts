import { getResendMs } from './getResendMs.js';
import { getSilentAfterMs } from './getSilentAfterMs.js';

/** With fewer senders, the relaying entry of all of them may be the receiver itself for some time. */
const MIN_SENDERS = 8;
/** Longer than two sends of unchanged digests are apart where digests are frequent. */
const MIN_GAP_MS = 400;
/** Frames that were due in a gap that is conclusive. */
const MISSED_FRAMES = 10;

/** The time without any relayed frame, in milliseconds, after which nothing is relayed to an entry. */
export const getMaxRelayGapMs = ({
  entryCount,
  senderCount,
}: {
  readonly entryCount: number;
  /** The number of entries in other data centres. */
  readonly senderCount: number;
}): number => {
  const silentAfterMs = getSilentAfterMs(entryCount);
  if (senderCount < MIN_SENDERS) {
    return silentAfterMs;
  }
  const missedMs = (MISSED_FRAMES * getResendMs(entryCount)) / senderCount;
  return Math.min(silentAfterMs, Math.max(MIN_GAP_MS, missedMs));
};
