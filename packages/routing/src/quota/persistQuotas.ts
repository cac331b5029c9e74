import { isResponsibleForPersisting } from '../peers/isResponsibleForPersisting.js';
import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import type { StepContext } from '../steps/stepContext.js';
import { getRecentQuotas } from './getRecentQuotas.js';
import { isQuotaWindowKnown } from './isQuotaWindowKnown.js';

const PERSIST_PERIOD_MS = 1_000;

/**
 * Periodically persists the recent quota usage outside of the entries, so that it survives a stop of all of them. Among
 * the entries that hear one another, the one whose host name sorts first writes for all.
 */
export const persistQuotas = (state: RoutingState, context: StepContext): StepResult => {
  const { settings, nowMs } = context;
  const isDue = nowMs - state.quotasPersistedAtMs >= PERSIST_PERIOD_MS;
  if (!isDue || state.isLeaving || !isQuotaWindowKnown(state, settings, nowMs)) {
    return createStepResult(state);
  }
  if (!isResponsibleForPersisting(state, context)) {
    return createStepResult(state);
  }
  const usage = getRecentQuotas(state, settings, nowMs);
  if (Object.keys(usage).length === 0) {
    return createStepResult(state);
  }
  return createStepResult(
    { ...state, quotasPersistedAtMs: nowMs },
    { type: 'rememberQuotas', usage },
  );
};
