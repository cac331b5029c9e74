import type { TeamQuota } from '../configuration/teamQuota.js';

/** What a request counts as; `tokens` is undefined where the caller tells none. */
export const getQuotaCost = (quota: TeamQuota, tokens: number | undefined): number =>
  quota.unit === 'requests' ? 1 : (tokens ?? quota.plainTokens);
