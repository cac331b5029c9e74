import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { narrowQuarantines } from './narrowQuarantines.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/**
 * Drops the suspicion against prompt parts with which a target has answered, and takes them out of the quarantines;
 * `atMs` is the moment of the answer.
 */
export const clearParts = (
  state: RoutingState,
  parts: readonly string[],
  { atMs, isHere }: { readonly atMs: number; readonly isHere: boolean },
): StepResult => {
  const { suspicions, quarantines, isReportDue } = state.promptFaults;
  const suspected = parts.filter((part) => (suspicions.get(part)?.clearedAtMs ?? -Infinity) < atMs);
  if (suspected.length === 0) {
    return createStepResult(state);
  }
  const isNews = suspected.some(
    (part) =>
      suspicions.get(part)?.evidence.length !== 0 ||
      quarantines.some((quarantine) => quarantine.parts.includes(part)),
  );
  const cleared = suspected.reduce((current, part) => {
    const evidence = current.get(part)?.evidence.filter((item) => item.atMs > atMs) ?? [];
    return current.set(part, { evidence, clearedAtMs: atMs, isClearedHere: isHere });
  }, suspicions);
  const next = updatePromptFaults(state, {
    suspicions: cleared,
    isReportDue: isReportDue || (isHere && isNews),
  });
  return narrowQuarantines(next);
};
