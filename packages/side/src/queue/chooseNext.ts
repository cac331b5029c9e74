import { TIERS } from '@parsleyhall/common';
import type { TeamName } from '@parsleyhall/common';
import type { Lane } from './lane.js';
import type { OrderFilter } from './orderFilter.js';
import type { QueueState } from './queueState.js';
import type { WaitingReservation } from './waitingReservation.js';
import { getTierQueue } from './getTierQueue.js';

interface Candidate {
  readonly tag: number;
  readonly team: TeamName;
  readonly waiting: WaitingReservation;
}

const getCandidate = (queue: QueueState, lane: Lane): Candidate | undefined => {
  const team = lane.teams.first();
  const first = team && lane.requestsByTeam.get(team.id)?.first();
  const waiting = first && queue.byRequest.get(first.id);
  return team && waiting && { tag: team.rank, team: team.id, waiting };
};

const isBefore = (left: Candidate, right: Candidate): boolean =>
  left.tag === right.tag
    ? left.waiting.latestStartMs <= right.waiting.latestStartMs
    : left.tag < right.tag;

/** The reservation that is first in order: by tier, then fair by team, then by slack. */
export const chooseNext = (
  queue: QueueState,
  filter: OrderFilter,
): WaitingReservation | undefined => {
  for (const tier of TIERS) {
    if (!filter.allowsTier(tier)) {
      continue;
    }
    const tierQueue = getTierQueue(queue, tier);
    const short = getCandidate(queue, tierQueue.short);
    const long = filter.allowsLongPrefills ? getCandidate(queue, tierQueue.long) : undefined;
    if (short && long) {
      return isBefore(short, long) ? short.waiting : long.waiting;
    }
    if (short ?? long) {
      return (short ?? long)?.waiting;
    }
  }
  return undefined;
};
