import type { Map } from 'immutable';
import type { RoutingState } from '../routingState.js';
import type { Suspicion } from './suspicion.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/** Long enough for rare requests with one part to be recognized by several crashes. */
const EVIDENCE_RETENTION_MS = 120_000;
/** A send that broke off counts for nothing if its target is not known to have crashed after this time. */
const CONFIRMATION_MS = 5_000;
const CLEARED_RETENTION_MS = 30_000;

const prune = ({ evidence, ...suspicion }: Suspicion, nowMs: number): Suspicion => ({
  ...suspicion,
  evidence: evidence.filter(
    ({ atMs, isConfirmed }) =>
      nowMs - atMs < (isConfirmed ? EVIDENCE_RETENTION_MS : CONFIRMATION_MS),
  ),
});

/** Evidence that another entry reports later than this is weighed without the answers of this one. */
const ANSWER_RETENTION_MS = 5_000;
/** Answers are looked through only when there are more than this. */
const FEW_ANSWERS = 256;

const dropOldAnswers = (answeredAtMs: Map<string, number>, nowMs: number): Map<string, number> =>
  answeredAtMs.size <= FEW_ANSWERS
    ? answeredAtMs
    : answeredAtMs.filter((atMs) => nowMs - atMs < ANSWER_RETENTION_MS);

/** Drops evidence that is too old, and parts of which nothing more is known. */
export const dropOldSuspicions = (state: RoutingState, nowMs: number): RoutingState => {
  const { suspicions, answeredAtMs } = state.promptFaults;
  const answers = dropOldAnswers(answeredAtMs, nowMs);
  if (suspicions.isEmpty()) {
    return answers === answeredAtMs ? state : updatePromptFaults(state, { answeredAtMs: answers });
  }
  const kept = suspicions
    .map((suspicion) => prune(suspicion, nowMs))
    .filter(
      ({ evidence, clearedAtMs }) =>
        evidence.length > 0 ||
        (clearedAtMs !== undefined && nowMs - clearedAtMs < CLEARED_RETENTION_MS),
    );
  return updatePromptFaults(state, { suspicions: kept, answeredAtMs: answers });
};
