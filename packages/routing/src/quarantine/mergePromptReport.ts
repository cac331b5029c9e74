import type { RoutingState } from '../routingState.js';
import { chainStep } from '../steps/chainStep.js';
import { createStepResult } from '../steps/createStepResult.js';
import { runStepForEach } from '../steps/runStepForEach.js';
import type { StepResult } from '../steps/stepResult.js';
import type { StepContext } from '../steps/stepContext.js';
import { addEvidence } from './addEvidence.js';
import { clearParts } from './clearParts.js';
import { confirmCrash } from './confirmCrash.js';
import { mergeQuarantines } from './mergeQuarantines.js';
import type { PromptReport } from './promptReport.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/** The clocks of entries are compared by ages that say nothing of the time on the way. */
const AGE_MARGIN_MS = 100;

const mergeEvidence = (
  state: RoutingState,
  { evidence }: PromptReport,
  nowMs: number,
): RoutingState =>
  evidence.reduce((current, { targetStart, ageMs, parts }) => {
    const { suspicions } = current.promptFaults;
    const item = { targetStart, atMs: nowMs - ageMs, parts, isLocal: false, isConfirmed: true };
    const added = addEvidence(suspicions, item);
    const next =
      added === suspicions
        ? current
        : updatePromptFaults(current, { suspicions: added, isDecisionDue: true });
    return confirmCrash(next, targetStart);
  }, state);

/** Clears parts that this entry saw answered lately, which the one that suspects them could not know. */
const clearAnswered = (
  state: RoutingState,
  { evidence, quarantines }: PromptReport,
): StepResult => {
  const parts = new Set([...evidence, ...quarantines].flatMap((item) => item.parts));
  return runStepForEach(state, parts, (current, part) => {
    const atMs = current.promptFaults.answeredAtMs.get(part);
    return atMs === undefined
      ? createStepResult(current)
      : clearParts(current, [part], { atMs, isHere: true });
  });
};

/** Takes in what another entry reports about prompt parts that crash targets. */
export const mergePromptReport = (
  state: RoutingState,
  report: PromptReport,
  { nowMs }: StepContext,
): StepResult => {
  const withEvidence = clearAnswered(mergeEvidence(state, report, nowMs), report);
  const cleared = chainStep(withEvidence, (current) =>
    runStepForEach(current, Object.entries(report.cleared), (next, [part, ageMs]) =>
      clearParts(next, [part], { atMs: nowMs - ageMs - AGE_MARGIN_MS, isHere: false }),
    ),
  );
  return chainStep(cleared, (current) =>
    mergeQuarantines(current, report.quarantines, 'peer', nowMs),
  );
};
