import type { TeamQuota } from '../configuration/teamQuota.js';
import { getBaseAllowance } from './getBaseAllowance.js';
import type { QuotaPolicy } from './quotaPolicy.js';

/** The shares of the tolerance used here; the rest covers usage that entries have not yet reported to one another. */
const OVERSHOOT_SHARE = 0.3;
const SLACK_SHARE = 0.25;

/** The usage that a team is allowed in any window: its quota and a share of the operator's overshoot tolerance. */
export const getQuotaAllowance = (
  quota: TeamQuota,
  { windowMs, overshoot, slack }: QuotaPolicy,
): number =>
  getBaseAllowance(quota, windowMs) * (1 + OVERSHOOT_SHARE * overshoot) + SLACK_SHARE * slack;
