import { getResendMs } from './getResendMs.js';

/** One digest may be lost. */
const SILENT_AFTER_RESENDS = 2;
/** Timers fire late and datagrams take time. */
const JITTER_MS = 50;

/** How long another entry may be silent before digests are no longer relayed by it or to it. */
export const getSilentAfterMs = (entryCount: number): number =>
  SILENT_AFTER_RESENDS * getResendMs(entryCount) + JITTER_MS;
