import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import { observeWindow } from './observeWindow.js';

const OVERDUE_TOKENS = 5;
const MINIMUM_OVERDUE_MS = 60;
const MINIMUM_FIRST_TOKEN_OVERDUE_MS = 500;
const FIRST_TOKEN_OVERDUE = 2;

const getOverdueSinceMs = ({ nowMs }: SideContext, state: SideState): number | undefined => {
  const { runs, estimates } = state;
  const token = runs.decoding.first();
  if (token !== undefined) {
    const allowedMs = Math.max(
      MINIMUM_OVERDUE_MS,
      OVERDUE_TOKENS * estimates.recentBetweenTokensMs,
    );
    return nowMs - token.rank > allowedMs ? token.rank : undefined;
  }
  const first = runs.prefilling.first();
  const run = first && runs.byId.get(first.id);
  if (first === undefined || run === undefined) {
    return undefined;
  }
  const allowedMs = Math.max(
    MINIMUM_FIRST_TOKEN_OVERDUE_MS,
    FIRST_TOKEN_OVERDUE * run.predictedFirstTokenMs,
  );
  return nowMs - first.rank > allowedMs ? first.rank : undefined;
};

/** The state after a look for tokens that should have come: a stalled target gets no more work. */
export const checkOverdue = (context: SideContext, state: SideState): SideState => {
  const sinceMs = getOverdueSinceMs(context, state);
  if (sinceMs !== undefined) {
    return observeWindow(context, state, { type: 'overdue', sinceMs });
  }
  return state.window.stalledSinceMs === undefined
    ? state
    : observeWindow(context, state, { type: 'moving' });
};
