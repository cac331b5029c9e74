import type { TeamQuota } from '../configuration/teamQuota.js';
import { getPlainQuota } from './getPlainQuota.js';
import type { QuotaPolicy } from './quotaPolicy.js';

/** The rest of the tolerance covers what entries take before they hear of one another. */
const OVERSHOOT_USED = 0.3;
const SLACK_USED = 0.25;

/** What a team may take in any window: its quota and a part of what the operator tolerates beyond it. */
export const getQuotaAllowance = (
  quota: TeamQuota,
  { windowMs, overshoot, slack }: QuotaPolicy,
): number => getPlainQuota(quota, windowMs) * (1 + OVERSHOOT_USED * overshoot) + SLACK_USED * slack;
