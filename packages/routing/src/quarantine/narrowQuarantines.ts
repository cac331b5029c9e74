import type { Observation } from '../observations/observation.js';
import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { addQuarantine } from './addQuarantine.js';
import { getQuarantineKey } from './getQuarantineKey.js';
import { getSuspectParts } from './getSuspectParts.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/**
 * Takes parts that were cleared out of the quarantines, so that the remaining parts are quarantined by
 * themselves. A quarantine of which no part remains is released.
 */
export const narrowQuarantines = (state: RoutingState): StepResult => {
  const { quarantines } = state.promptFaults;
  const observations: Observation[] = [];
  let next = quarantines;
  for (const [key, quarantine] of quarantines) {
    const parts = getSuspectParts(quarantine, state.promptFaults);
    if (parts.length === quarantine.parts.length) {
      continue;
    }
    next = next.delete(key);
    if (parts.length > 0) {
      next = addQuarantine(next, { ...quarantine, parts });
    }
    observations.push({
      type: 'observe',
      name: parts.length > 0 ? 'promptQuarantineNarrowed' : 'promptReleased',
      fields: { promptParts: getQuarantineKey(parts.length > 0 ? parts : quarantine.parts) },
    });
  }
  return observations.length === 0
    ? createStepResult(state)
    : createStepResult(
        updatePromptFaults(state, {
          quarantines: next,
          isReportDue: true,
          isPersistenceDue: true,
        }),
        ...observations,
      );
};
