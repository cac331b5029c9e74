import type { RequestId, TeamName } from '@parsleyhall/common';
import type { Lane } from './lane.js';

/** The lane without a request of the team; the tag and rank are those it was added at. */
export const removeFromLane = (
  lane: Lane,
  member: {
    readonly team: TeamName;
    readonly tag: number;
    readonly rank: number;
    readonly requestId: RequestId;
  },
): Lane => {
  const requests = lane.requestsByTeam.get(member.team)?.without(member.rank, member.requestId);
  if (requests === undefined || requests.size > 0) {
    return requests === undefined
      ? lane
      : { ...lane, requestsByTeam: lane.requestsByTeam.set(member.team, requests) };
  }
  return {
    teams: lane.teams.without(member.tag, member.team),
    requestsByTeam: lane.requestsByTeam.remove(member.team),
  };
};
