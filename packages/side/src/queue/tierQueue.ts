import type { Map } from 'immutable';
import type { OrderedIndex, TeamName } from '@parsleyhall/common';
import type { Lane } from './lane.js';

/** The waiting reservations of one tier under start-time fair queueing over the teams. */
export interface TierQueue {
  /** Start tag of the request served last. */
  readonly virtualTime: number;
  /** Start tag of each team's next request, for teams that wait or are ahead of the virtual time. */
  readonly tags: Map<TeamName, number>;
  /** Teams that wait for nothing by their tag, so that tags that have lost their meaning are forgotten. */
  readonly idleTeams: OrderedIndex<TeamName>;
  readonly short: Lane;
  readonly long: Lane;
  readonly requests: number;
  readonly tokens: number;
  /** Milliseconds of the target's time that all of it takes, as estimated on arrival. */
  readonly workMs: number;
}
