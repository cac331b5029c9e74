import { MS_PER_SECOND } from '@parsleyhall/common';
import type { TeamQuota } from '../configuration/teamQuota.js';

/** What a team may take in any window of this length, in milliseconds. */
export const getQuotaAllowance = (quota: TeamQuota, windowMs: number): number =>
  (quota.perSecond * windowMs) / MS_PER_SECOND + quota.burst;
