import type { RoutingState } from '../routingState.js';
import { narrowQuarantines } from './narrowQuarantines.js';
import type { StepResult } from '../steps/stepResult.js';
import { createStepResult } from '../steps/createStepResult.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/**
 * Drops the suspicion against prompt parts with which a target has answered, and takes them out of the quarantines;
 * `atMs` is the moment of the answer. Parts that nobody suspects are not recorded.
 */
export const clearParts = (
  state: RoutingState,
  parts: readonly string[],
  { atMs, isHere }: { readonly atMs: number; readonly isHere: boolean },
): StepResult => {
  const { suspicions, quarantines } = state.promptFaults;
  if (suspicions.isEmpty() && quarantines.isEmpty()) {
    return createStepResult(state);
  }
  const suspected = parts.filter((part) => {
    const isKnown =
      suspicions.has(part) || quarantines.some((quarantine) => quarantine.parts.includes(part));
    return isKnown && (suspicions.get(part)?.clearedAtMs ?? -Infinity) < atMs;
  });
  if (suspected.length === 0) {
    return createStepResult(state);
  }
  const cleared = suspected.reduce((current, part) => {
    const known = current.get(part);
    const evidence = known?.evidence.filter((item) => item.atMs > atMs) ?? [];
    return current.set(part, { evidence, clearedAtMs: atMs, isClearedHere: isHere });
  }, suspicions);
  const isNews = suspected.some(
    (part) =>
      suspicions.get(part)?.evidence.length !== 0 ||
      quarantines.some((quarantine) => quarantine.parts.includes(part)),
  );
  const next = updatePromptFaults(state, {
    suspicions: cleared,
    isReportDue: state.promptFaults.isReportDue || (isHere && isNews),
  });
  return narrowQuarantines(next);
};
