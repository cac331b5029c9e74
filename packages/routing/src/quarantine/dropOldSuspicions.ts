import type { RoutingState } from '../routingState.js';
import type { Suspicion } from './suspicion.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/** Long enough for rare requests with one part to be recognized by several crashes. */
const EVIDENCE_RETENTION_MS = 120_000;
/** A send that broke off counts for nothing if its target is not known to have crashed after this time. */
const CONFIRMATION_MS = 10_000;
const CLEARED_RETENTION_MS = 30_000;

const prune = ({ evidence, ...suspicion }: Suspicion, nowMs: number): Suspicion => ({
  ...suspicion,
  evidence: evidence.filter(
    ({ atMs, isConfirmed }) =>
      nowMs - atMs < (isConfirmed ? EVIDENCE_RETENTION_MS : CONFIRMATION_MS),
  ),
});

/** Drops evidence that is too old, and parts of which nothing more is known. */
export const dropOldSuspicions = (state: RoutingState, nowMs: number): RoutingState => {
  const { suspicions } = state.promptFaults;
  if (suspicions.isEmpty()) {
    return state;
  }
  const kept = suspicions
    .map((suspicion) => prune(suspicion, nowMs))
    .filter(
      ({ evidence, clearedAtMs }) =>
        evidence.length > 0 ||
        (clearedAtMs !== undefined && nowMs - clearedAtMs < CLEARED_RETENTION_MS),
    );
  return updatePromptFaults(state, { suspicions: kept });
};
