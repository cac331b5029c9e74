import type { TeamQuota } from '../configuration/teamQuota.js';

/** A request's cost in the quota's unit; `tokens` is undefined if the caller does not state any. */
export const getQuotaCost = (quota: TeamQuota, tokens: number | undefined): number =>
  quota.unit === 'requests' ? 1 : (tokens ?? quota.plainTokens);
