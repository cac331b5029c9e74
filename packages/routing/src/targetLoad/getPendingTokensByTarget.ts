import type { RoutingState } from '../routingState.js';

/**
 * The prompt tokens of this entry's requests whose responses have not started, at each target that reports its load, by
 * target id.
 */
export const getPendingTokensByTarget = ({
  targets,
}: RoutingState): Readonly<Record<string, number>> =>
  Object.fromEntries(
    [...targets.values()]
      .filter(({ load, pendingPromptTokens }) => load !== undefined && pendingPromptTokens > 0)
      .map(({ listed, pendingPromptTokens }) => [listed.id, Math.ceil(pendingPromptTokens)]),
  );
