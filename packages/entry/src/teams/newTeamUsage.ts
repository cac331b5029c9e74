import type { TeamUsage } from './teamUsage.js';

/** A team that has not sent anything; its credit is filled when its limits are first looked at. */
export const newTeamUsage = (): TeamUsage => ({
  requestCredit: Number.POSITIVE_INFINITY,
  tokenCredit: Number.POSITIVE_INFINITY,
  updatedAtMs: 0,
  waitingRequests: 0,
  waitingBytes: 0,
});
