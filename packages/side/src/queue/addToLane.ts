import { OrderedIndex } from '@parsleyhall/common';
import type { RequestId, TeamName } from '@parsleyhall/common';
import type { Lane } from './lane.js';

/** The lane with a request of the team added; the tag is the team's start tag. */
export const addToLane = (
  lane: Lane,
  member: {
    readonly team: TeamName;
    readonly tag: number;
    readonly rank: number;
    readonly requestId: RequestId;
  },
): Lane => {
  const requests = lane.requestsByTeam.get(member.team) ?? OrderedIndex.empty<RequestId>();
  const teams = requests.size === 0 ? lane.teams.with(member.tag, member.team) : lane.teams;
  const requestsByTeam = lane.requestsByTeam.set(
    member.team,
    requests.with(member.rank, member.requestId),
  );
  return { teams, requestsByTeam };
};
