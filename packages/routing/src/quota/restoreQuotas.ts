import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { mergeRecentQuotas } from './mergeRecentQuotas.js';
import type { RecentQuotas } from './recentQuotas.js';

// Usage between the last write and the stop of the writer was not recorded; it is estimated as the larger of the two
// latest parts.
const addUnrecordedUsage = (parts: readonly number[]): readonly number[] => {
  const newest = parts.at(-1) ?? 0;
  const before = parts.at(-2) ?? 0;
  return [...parts.slice(0, -1), newest + Math.max(newest, before)];
};

/** Restores the usage that was persisted outside of the entries. */
export const restoreQuotas = (
  state: RoutingState,
  persisted: RecentQuotas,
  context: StepContext,
): RoutingState => {
  const estimated = Object.entries(persisted).map(
    ([team, parts]) => [team, addUnrecordedUsage(parts)] as const,
  );
  return mergeRecentQuotas(state, Object.fromEntries(estimated), context);
};
