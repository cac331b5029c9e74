import { MS_PER_SECOND } from '@parsleyhall/common';
import type { TeamQuota } from '../configuration/teamQuota.js';

/** What the quota itself allows in any window of this length, in milliseconds. */
export const getPlainQuota = ({ perSecond, burst }: TeamQuota, windowMs: number): number =>
  (perSecond * windowMs) / MS_PER_SECOND + burst;
