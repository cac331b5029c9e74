import { isResponsibleForPersisting } from '../peers/isResponsibleForPersisting.js';
import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import type { StepContext } from '../steps/stepContext.js';
import { shareQuarantines } from './shareQuarantines.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/** They are written again after this time, since a write may fail. */
const REPEAT_PERIOD_MS = 10_000;

/** Persists the quarantines after each change and from time to time, so that they survive a stop of all entries. */
export const persistQuarantines = (state: RoutingState, context: StepContext): StepResult => {
  const { nowMs } = context;
  const { quarantines, isPersistenceDue, persistedAtMs } = state.promptFaults;
  const isRepeatDue = !quarantines.isEmpty() && nowMs - persistedAtMs >= REPEAT_PERIOD_MS;
  if (!isPersistenceDue && !isRepeatDue) {
    return createStepResult(state);
  }
  const persisted = updatePromptFaults(state, { isPersistenceDue: false, persistedAtMs: nowMs });
  return isResponsibleForPersisting(state, context)
    ? createStepResult(persisted, {
        type: 'rememberQuarantines',
        quarantines: shareQuarantines(quarantines, nowMs),
      })
    : createStepResult(persisted);
};
