import type { RoutedTeam } from './routedTeam.js';
import type { RoutingIndex } from './routingIndex.js';

/** The team that holds a key; undefined if none does, or without a key. */
export const getTeamOfKey = (
  { teamsByKey }: RoutingIndex,
  key: string | undefined,
): RoutedTeam | undefined => (key === undefined ? undefined : teamsByKey.get(key));
