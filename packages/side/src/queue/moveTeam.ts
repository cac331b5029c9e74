import type { TeamName } from '@parsleyhall/common';
import type { Lane } from './lane.js';
import type { TierQueue } from './tierQueue.js';

const moveInLane = (lane: Lane, team: TeamName, from: number, to: number): Lane =>
  lane.requestsByTeam.has(team)
    ? { ...lane, teams: lane.teams.without(from, team).with(to, team) }
    : lane;

const isWaiting = (tierQueue: TierQueue, team: TeamName): boolean =>
  tierQueue.short.requestsByTeam.has(team) || tierQueue.long.requestsByTeam.has(team);

/** The tier's queue with a team's start tag changed. */
export const moveTeam = (tierQueue: TierQueue, team: TeamName, to: number): TierQueue => {
  const from = tierQueue.tags.get(team);
  const tags = tierQueue.tags.set(team, to);
  if (from === undefined) {
    return { ...tierQueue, tags, idleTeams: tierQueue.idleTeams.with(to, team) };
  }
  if (!isWaiting(tierQueue, team)) {
    return {
      ...tierQueue,
      tags,
      idleTeams: tierQueue.idleTeams.without(from, team).with(to, team),
    };
  }
  return {
    ...tierQueue,
    tags,
    short: moveInLane(tierQueue.short, team, from, to),
    long: moveInLane(tierQueue.long, team, from, to),
  };
};
