import type { Map as ImmutableMap } from 'immutable';
import type { TeamName } from '@parsleyhall/common';
import { newTeamUsage } from './newTeamUsage.js';
import type { TeamUsage } from './teamUsage.js';

/** Counts waiting requests and bytes of a team up or down. */
export const changeTeamWaiting = (
  teams: ImmutableMap<TeamName, TeamUsage>,
  team: TeamName,
  requests: number,
  bytes: number,
): ImmutableMap<TeamName, TeamUsage> => {
  const usage = teams.get(team) ?? newTeamUsage();
  return teams.set(team, {
    ...usage,
    waitingRequests: usage.waitingRequests + requests,
    waitingBytes: usage.waitingBytes + bytes,
  });
};
