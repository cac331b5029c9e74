import { MS_PER_SECOND } from '@parsleyhall/common';
import type { TeamQuota } from '../configuration/teamQuota.js';
import type { QuotaAccount } from './quotaAccount.js';

/** How long until the account covers the cost, in milliseconds; 0 where it does now. */
export const getQuotaWaitMs = (account: QuotaAccount, quota: TeamQuota, cost: number): number => {
  const needed = Math.min(cost, quota.burst + quota.perSecond);
  const missing = needed - account.level;
  return missing <= 0 ? 0 : (missing / quota.perSecond) * MS_PER_SECOND;
};
