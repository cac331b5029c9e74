import { clamp } from '@parsleyhall/common';
import { getDigestAgeMs } from './getDigestAgeMs.js';
import type { LoadReport } from './loadReport.js';

/**
 * The share of a report that digests do not contain yet, from 1 when it arrives to 0 after the interval between digests,
 * by which time each other entry has sent a newer one.
 */
export const getReportFreshness = (
  { reportedAtMs }: LoadReport,
  peerCount: number,
  nowMs: number,
): number => clamp(1 - (nowMs - reportedAtMs) / getDigestAgeMs(peerCount), 0, 1);
