import type { RoutingState } from '../routingState.js';

/** Identifies a target and its current start, so that two crashes of one target are told apart. */
export const getTargetStart = ({ targets }: RoutingState, targetId: string): string =>
  `${targetId}@${targets.get(targetId)?.listed.startedAtMs ?? ''}`;
