import type { RoutingState } from '../routingState.js';
import type { Scope } from '../steps/scope.js';
import { learnQuotas } from './learnQuotas.js';
import type { RecentQuotas } from './recentQuotas.js';

// What was taken between the record and the stop of its writer is not in it: as much as in the part before, at a guess.
const withUnrecorded = (parts: readonly number[]): readonly number[] => {
  const newest = parts.at(-1) ?? 0;
  const before = parts.at(-2) ?? 0;
  return [...parts.slice(0, -1), newest + Math.max(newest, before)];
};

/** An entry learns from what was kept outside of the entries. */
export const recallQuotas = (
  state: RoutingState,
  kept: RecentQuotas,
  scope: Scope,
): RoutingState => {
  const guessed = Object.entries(kept).map(
    ([team, parts]) => [team, withUnrecorded(parts)] as const,
  );
  return learnQuotas(state, Object.fromEntries(guessed), scope);
};
