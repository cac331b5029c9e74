import { MS_PER_SECOND } from '@parsleyhall/common';
import type { TeamQuota } from '../configuration/teamQuota.js';
import type { QuotaPolicy } from './quotaPolicy.js';

/** The rest of the tolerance covers what entries take before they hear of one another. */
const OVERSHOOT_USED = 0.5;
const SLACK_USED = 0.4;

/** What a team may take in any window: its quota and a part of what the operator tolerates beyond it. */
export const getQuotaAllowance = (
  { perSecond, burst }: TeamQuota,
  { windowMs, overshoot, slack }: QuotaPolicy,
): number => {
  const quota = (perSecond * windowMs) / MS_PER_SECOND + burst;
  return quota * (1 + OVERSHOOT_USED * overshoot) + SLACK_USED * slack;
};
