import type { RoutingState } from '../routingState.js';
import { chainStep } from '../steps/chainStep.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepContext } from '../steps/stepContext.js';
import type { StepResult } from '../steps/stepResult.js';
import { askForWrite } from './askForWrite.js';
import { decideRollout } from './decideRollout.js';
import { getRolloutFacts } from './getRolloutFacts.js';
import { getRunningRollout } from './getRunningRollout.js';
import { isReturn } from './isReturn.js';
import { judgeRollout } from './judgeRollout.js';
import { markJudgedBad } from './markJudgedBad.js';
import { mayDecide } from './mayDecide.js';
import { newOutcomeCounts } from './newOutcomeCounts.js';
import { newStatus } from './newStatus.js';
import { noteIncompleteList } from './noteIncompleteList.js';
import { putRollout } from './putRollout.js';

const writeIfDue = (
  state: RoutingState,
  service: string,
  judgement: ReturnType<typeof judgeRollout>,
  context: StepContext,
): StepResult => {
  const { nowMs } = context;
  const known = state.rollouts.byService.get(service);
  if (known === undefined) {
    return createStepResult(state);
  }
  const rollout = noteIncompleteList(state, service, known, nowMs);
  const verdict = rollout.isJudgedBad ? 'bad' : judgement.verdict;
  const facts = getRolloutFacts(state, service, rollout, verdict, nowMs);
  const decision = mayDecide(state, rollout, nowMs) ? decideRollout(rollout, facts) : undefined;
  if (decision !== undefined) {
    return askForWrite(
      state,
      rollout,
      newStatus(state, rollout, decision, judgement.counts, context),
      nowMs,
    );
  }
  if (rollout.isStoreBehind && rollout.status !== undefined) {
    return askForWrite(state, rollout, rollout.status, nowMs);
  }
  const { dueSinceMs, ...settled } = rollout;
  const isUnchanged = dueSinceMs === undefined && rollout === known;
  return createStepResult(isUnchanged ? state : putRollout(state, service, settled));
};

/** Judges the version of a service's roll-out and asks for the record of the next step if one is due. */
export const advanceRollout = (
  state: RoutingState,
  service: string,
  context: StepContext,
): StepResult => {
  const running = getRunningRollout(state, service);
  if (running === undefined || isReturn(running.status)) {
    const nothing = { verdict: 'open', counts: newOutcomeCounts() } as const;
    return writeIfDue(state, service, nothing, context);
  }
  const judgement = judgeRollout(state, running);
  const { counts } = judgement;
  const { nowMs, settings } = context;
  const judged =
    judgement.verdict === 'bad'
      ? markJudgedBad(state, service, { source: settings.host, counts, nowMs })
      : createStepResult(state);
  return chainStep(judged, (current) => writeIfDue(current, service, judgement, context));
};
