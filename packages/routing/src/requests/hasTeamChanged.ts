import { getTeamOfKey } from '../configuration/getTeamOfKey.js';
import type { RoutingState } from '../routingState.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Whether the request's key was withdrawn from its team, or given to another one, since the request was admitted. */
export const hasTeamChanged = (
  { index }: RoutingState,
  { key, team }: Pick<TrackedRequest, 'key' | 'team'>,
): boolean => index !== undefined && getTeamOfKey(index, key)?.name !== team;
