import { MS_PER_SECOND } from '@parsleyhall/common';
import type { TeamQuota } from '../configuration/teamQuota.js';

/** The usage that the quota allows in any window of this length, without the overshoot tolerance. */
export const getBaseAllowance = ({ perSecond, burst }: TeamQuota, windowMs: number): number =>
  (perSecond * windowMs) / MS_PER_SECOND + burst;
