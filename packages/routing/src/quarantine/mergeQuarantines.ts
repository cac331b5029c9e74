import type { Observation } from '../observations/observation.js';
import type { RoutingState } from '../routingState.js';
import { chainStep } from '../steps/chainStep.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { addQuarantine } from './addQuarantine.js';
import { getQuarantineKey } from './getQuarantineKey.js';
import { getSuspectParts } from './getSuspectParts.js';
import { refuseQuarantined } from './refuseQuarantined.js';
import type { SharedQuarantine } from './sharedQuarantine.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/** A quarantine that nobody has put to a trial for this long after it was due is forgotten. */
const FORGOTTEN_AFTER_MS = 600_000;

/** Adopts quarantines that another entry imposed, but for parts that were cleared after its decision. */
export const mergeQuarantines = (
  state: RoutingState,
  shared: readonly SharedQuarantine[],
  source: 'peer' | 'store',
  nowMs: number,
): StepResult => {
  const { quarantines } = state.promptFaults;
  const observations: Observation[] = [];
  let next = quarantines;
  for (const { parts, ageMs, leftMs, holdMs } of shared) {
    const told = { parts, suspectedSinceMs: nowMs - ageMs, heldUntilMs: nowMs + leftMs, holdMs };
    const quarantine = { ...told, parts: getSuspectParts(told, state.promptFaults) };
    if (quarantine.parts.length === 0 || leftMs < -FORGOTTEN_AFTER_MS) {
      continue;
    }
    const before = next;
    next = addQuarantine(next, quarantine);
    const key = getQuarantineKey(quarantine.parts);
    if (next.has(key) && !before.has(key)) {
      const fields = { promptParts: key, restMs: Math.max(0, leftMs), source };
      observations.push({ type: 'observe', name: 'promptQuarantined', fields });
    }
  }
  if (next === quarantines) {
    return createStepResult(state);
  }
  const adopted = updatePromptFaults(state, {
    quarantines: next,
    isPersistenceDue: state.promptFaults.isPersistenceDue || source === 'peer',
  });
  return observations.length === 0
    ? createStepResult(adopted)
    : chainStep(createStepResult(adopted, ...observations), (current) =>
        refuseQuarantined(current, nowMs),
      );
};
