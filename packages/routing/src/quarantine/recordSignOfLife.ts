import type { RoutingState } from '../routingState.js';
import { getTargetStart } from '../targets/getTargetStart.js';
import { updateTarget } from '../targets/updateTarget.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/** Bytes that a target sent before it crashed may arrive for so long. */
const LAST_BYTES_MS = 300;
/** A target that answers later than this after a crash may have started again. */
const MIN_RESTART_MS = 2_000;

/**
 * Records that a target answers. If sends broke off there shortly before, it broke off these sends and did not crash, so
 * that they say nothing of their prompts.
 */
export const recordSignOfLife = (
  state: RoutingState,
  targetId: string,
  nowMs: number,
): RoutingState => {
  const brokenSends = state.targets.get(targetId)?.brokenSends;
  const sinceMs = brokenSends === undefined ? 0 : nowMs - brokenSends.firstAtMs;
  if (sinceMs < LAST_BYTES_MS) {
    return state;
  }
  const noted = updateTarget(state, targetId, ({ brokenSends: _, ...target }) => target);
  if (sinceMs > MIN_RESTART_MS) {
    return noted;
  }
  const targetStart = getTargetStart(state, targetId);
  const suspicions = noted.promptFaults.suspicions.map((suspicion) => ({
    ...suspicion,
    evidence: suspicion.evidence.filter(
      (item) =>
        !item.isLocal || item.targetStart !== targetStart || nowMs - item.atMs > MIN_RESTART_MS,
    ),
  }));
  return updatePromptFaults(noted, { suspicions });
};
