import type { RoutingState } from '../routingState.js';
import type { StepResult } from '../steps/stepResult.js';
import { clearParts } from './clearParts.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/**
 * Records that a target has answered a request with these prompt parts and goes on, which clears those of them that are
 * suspected.
 */
export const recordAnswer = (
  state: RoutingState,
  parts: readonly string[],
  nowMs: number,
): StepResult => {
  const { answeredAtMs, suspicions, quarantines } = state.promptFaults;
  const recorded = parts.reduce((answers, part) => answers.set(part, nowMs), answeredAtMs);
  const suspected = parts.filter(
    (part) =>
      suspicions.has(part) || quarantines.some((quarantine) => quarantine.parts.includes(part)),
  );
  const next = updatePromptFaults(state, { answeredAtMs: recorded });
  return clearParts(next, suspected, { atMs: nowMs, isHere: true });
};
