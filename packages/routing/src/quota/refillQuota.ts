import { MS_PER_SECOND } from '@parsleyhall/common';
import type { TeamQuota } from '../configuration/teamQuota.js';
import type { QuotaAccount } from './quotaAccount.js';

/**
 * Brings an account up to now. `share` is the part of the quota that this entry may count on: less than one while
 * entries that it cannot hear may be taking theirs.
 */
export const refillQuota = ({
  account,
  quota,
  share,
  nowMs,
}: {
  readonly account: QuotaAccount | undefined;
  readonly quota: TeamQuota;
  readonly share: number;
  readonly nowMs: number;
}): QuotaAccount => {
  const capacity = (quota.burst + quota.perSecond) * share;
  if (account === undefined) {
    return { level: capacity, updatedMs: nowMs, takenHere: 0 };
  }
  const elapsedMs = Math.max(0, nowMs - account.updatedMs);
  const refilled = account.level + (quota.perSecond * share * elapsedMs) / MS_PER_SECOND;
  return { ...account, level: Math.min(capacity, refilled), updatedMs: nowMs };
};
