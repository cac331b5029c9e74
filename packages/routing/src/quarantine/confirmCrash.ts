import type { RoutingState } from '../routingState.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/** Records that a target crashed, which makes the sends that broke off there evidence against their prompts. */
export const confirmCrash = (state: RoutingState, targetStart: string): RoutingState => {
  const { suspicions } = state.promptFaults;
  const hasUnconfirmed = suspicions.some(({ evidence }) =>
    evidence.some((item) => !item.isConfirmed && item.targetStart === targetStart),
  );
  if (!hasUnconfirmed) {
    return state;
  }
  const confirmed = suspicions.map((suspicion) => ({
    ...suspicion,
    evidence: suspicion.evidence.map((item) =>
      item.targetStart === targetStart ? { ...item, isConfirmed: true } : item,
    ),
  }));
  return updatePromptFaults(state, {
    suspicions: confirmed,
    isDecisionDue: true,
    isReportDue: true,
  });
};
