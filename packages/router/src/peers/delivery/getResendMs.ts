import { getDigestIntervalMs } from '@parsleyhall/routing';
import { UNCHANGED_RESEND_MS } from '../resendTiming.js';

/** Time between two checks whether a digest is due. */
const TICK_MS = 50;

/** The longest time between two digests of an entry, in milliseconds. */
export const getResendMs = (entryCount: number): number => {
  const intervalMs = Math.max(1, Math.ceil(getDigestIntervalMs(entryCount) / TICK_MS)) * TICK_MS;
  return Math.ceil(UNCHANGED_RESEND_MS / intervalMs) * intervalMs;
};
