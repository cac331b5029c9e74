import type { Map } from 'immutable';
import type { Observation } from '../observations/observation.js';
import type { RoutingState } from '../routingState.js';
import { chainStep } from '../steps/chainStep.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import type { StepContext } from '../steps/stepContext.js';
import { addQuarantine } from './addQuarantine.js';
import { countCrashMoments } from './countCrashMoments.js';
import type { CrashEvidence } from './crashEvidence.js';
import { getCrashes } from './getCrashes.js';
import { getQuarantineKey } from './getQuarantineKey.js';
import { getUnexplainedEvidence } from './getUnexplainedEvidence.js';
import type { Quarantine } from './quarantine.js';
import { refuseQuarantined } from './refuseQuarantined.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/** One crash may be chance and two may be one request that was sent twice. */
const MIN_CRASH_MOMENTS = 3;
const FIRST_HOLD_MS = 60_000;
/** Quarantines that are imposed at once; the rest waits for more evidence. */
const MAX_DECISIONS = 16;

interface Suspect {
  readonly part: string;
  readonly moments: number;
  readonly evidence: readonly CrashEvidence[];
}

/** The part with evidence from the most crashes, if they are enough. */
const findWorst = (
  evidenceByPart: Map<string, readonly CrashEvidence[]>,
  allCrashes: readonly CrashEvidence[],
  trustedParts: readonly string[],
): Suspect | undefined =>
  [...evidenceByPart]
    .filter(([part]) => !trustedParts.includes(part))
    .map(([part, evidence]) => ({
      part,
      moments: countCrashMoments(evidence, allCrashes),
      evidence,
    }))
    .filter(({ moments }) => moments >= MIN_CRASH_MOMENTS)
    .reduce<Suspect | undefined>(
      (worst, next) => (worst === undefined || next.moments > worst.moments ? next : worst),
      undefined,
    );

/**
 * The parts that all requests with the suspected part had in common and of which none was cleared. As long as they
 * cannot be told apart, only requests with all of them are refused.
 */
const getCommonParts = (
  { part, moments, evidence }: Suspect,
  evidenceByPart: Map<string, readonly CrashEvidence[]>,
  allCrashes: readonly CrashEvidence[],
): readonly string[] =>
  [...new Set(evidence[0]?.parts)]
    .filter((other) => evidence.every(({ parts }) => parts.includes(other)))
    .filter((other) => {
      const otherEvidence = evidenceByPart.get(other) ?? [];
      return other === part || countCrashMoments(otherEvidence, allCrashes) >= moments;
    })
    .sort();

/** Weighs the evidence from crashes and quarantines the combinations of prompt parts that explain them. */
export const decideQuarantines = (state: RoutingState, { nowMs }: StepContext): StepResult => {
  if (!state.promptFaults.isDecisionDue) {
    return createStepResult(state);
  }
  const { suspicions } = state.promptFaults;
  const observations: Observation[] = [];
  let { quarantines } = state.promptFaults;
  while (observations.length < MAX_DECISIONS) {
    const evidenceByPart = getUnexplainedEvidence(suspicions, quarantines);
    const allCrashes = getCrashes([...evidenceByPart.values()].flat());
    const worst = findWorst(evidenceByPart, allCrashes, state.settings.trustedPromptParts);
    if (worst === undefined) {
      break;
    }
    const parts = getCommonParts(worst, evidenceByPart, allCrashes);
    const quarantine: Quarantine = {
      parts,
      suspectedSinceMs: worst.evidence[0]?.atMs ?? nowMs,
      heldUntilMs: nowMs + FIRST_HOLD_MS,
      holdMs: FIRST_HOLD_MS,
    };
    quarantines = addQuarantine(quarantines, quarantine);
    observations.push({
      type: 'observe',
      name: 'promptQuarantined',
      fields: {
        promptParts: getQuarantineKey(parts),
        crashes: worst.moments,
        restMs: FIRST_HOLD_MS,
        source: 'crashes',
      },
    });
  }
  const decided = updatePromptFaults(state, { isDecisionDue: false });
  if (observations.length === 0) {
    return createStepResult(decided);
  }
  const imposed = updatePromptFaults(decided, {
    quarantines,
    isReportDue: true,
    isPersistenceDue: true,
  });
  return chainStep(createStepResult(imposed, ...observations), (current) =>
    refuseQuarantined(current, nowMs),
  );
};
