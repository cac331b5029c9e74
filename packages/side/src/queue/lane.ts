import type { Map } from 'immutable';
import type { OrderedIndex, RequestId, TeamName } from '@parsleyhall/common';

/** Waiting reservations of one tier and length of prefill: teams by start tag, requests of a team by rank. */
export interface Lane {
  readonly teams: OrderedIndex<TeamName>;
  readonly requestsByTeam: Map<TeamName, OrderedIndex<RequestId>>;
}
