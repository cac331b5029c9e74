import { isOrderNew } from './isOrderNew.js';
import { isOrderedBack } from './isOrderedBack.js';
import { isReturn } from './isReturn.js';
import { isTerminal } from './isTerminal.js';
import { getRolloutTimes } from './getRolloutTimes.js';
import type { Rollout } from './rollout.js';
import type { RolloutFacts } from './rolloutFacts.js';
import type { RolloutOrder } from './rolloutOrder.js';
import type { RolloutReason } from './rolloutReason.js';
import type { RolloutStage } from './rolloutStage.js';
import type { RolloutStatus } from './rolloutStatus.js';

interface RolloutDecision {
  readonly order: RolloutOrder;
  readonly stage: RolloutStage;
  readonly reason: RolloutReason;
}

/** The list of targets may lack some for a moment. */
const INCOMPLETE_LIST_MS = 1_500;

const decideStart = (
  order: RolloutOrder,
  { status, isOrderFromSnapshot }: Pick<Rollout, 'status' | 'isOrderFromSnapshot'>,
  facts: RolloutFacts,
): RolloutDecision | undefined => {
  const isListCertain = facts.incompleteMs >= INCOMPLETE_LIST_MS;
  if (!facts.isServiceKnown) {
    return isListCertain ? { order, stage: 'rolledBack', reason: 'unknownService' } : undefined;
  }
  if (status !== undefined && isOrderedBack(order, status)) {
    return { order, stage: 'leavingOld', reason: 'orderedBack' };
  }
  if (facts.oldTargets === 0 && facts.newTargets > 0) {
    // Other entries may still have requests at targets that are no longer listed.
    return isListCertain ? { order, stage: 'leavingOld', reason: 'noOldTargets' } : undefined;
  }
  return isOrderFromSnapshot
    ? { order, stage: 'rolledBack', reason: 'timeUnknown' }
    : { order, stage: 'exposing', reason: 'ordered' };
};

const decideExposing = (order: RolloutOrder, facts: RolloutFacts): RolloutDecision | undefined => {
  const { decideFromMs, decideUntilMs } = getRolloutTimes(order.durationMs);
  if (facts.ageMs >= decideFromMs && facts.verdict === 'good' && facts.newTargets > 0) {
    return { order, stage: 'shifting', reason: 'evidenceSuffices' };
  }
  if (facts.ageMs < decideUntilMs) {
    return undefined;
  }
  const reason = facts.newTargets === 0 ? 'noTargets' : 'undecided';
  return { order, stage: 'rolledBack', reason };
};

const decideRunning = (
  { stage, order }: RolloutStatus,
  facts: RolloutFacts,
): RolloutDecision | undefined => {
  const { shiftingMs, completeFromMs, giveUpAtMs } = getRolloutTimes(order.durationMs);
  if (facts.verdict === 'bad') {
    return { order, stage: 'rolledBack', reason: 'badVersion' };
  }
  if (stage === 'exposing') {
    return decideExposing(order, facts);
  }
  if (facts.newTargets === 0) {
    return { order, stage: 'rolledBack', reason: 'noTargets' };
  }
  const isTimeToComplete = stage === 'leavingOld' && facts.ageMs >= completeFromMs;
  if (isTimeToComplete && facts.areOldTargetsLeft) {
    return { order, stage: 'completed', reason: 'oldTargetsLeft' };
  }
  if (facts.ageMs >= giveUpAtMs) {
    return { order, stage: 'rolledBack', reason: 'oldTargetsBusy' };
  }
  return stage === 'shifting' && facts.stageAgeMs >= shiftingMs
    ? { order, stage: 'leavingOld', reason: 'stillGood' }
    : undefined;
};

/** The versions before and after are both known, so a further order needs no verdict on this one. */
const decideReturn = (
  rollout: Rollout,
  { order, reason }: RolloutStatus,
  facts: RolloutFacts,
): RolloutDecision | undefined => {
  const isAlone = reason === 'noOldTargets';
  if (rollout.order !== undefined && isOrderNew(rollout)) {
    const { isOrderFromSnapshot } = rollout;
    return decideStart(rollout.order, { isOrderFromSnapshot }, facts);
  }
  if (isAlone && facts.oldTargets > 0) {
    return { order, stage: 'rolledBack', reason: 'oldTargetsBusy' };
  }
  return facts.areOldTargetsLeft
    ? { order, stage: 'completed', reason: isAlone ? reason : 'oldTargetsLeft' }
    : undefined;
};

/** The next step of a roll-out; undefined if none is due. A new order first ends the roll-out that is under way. */
export const decideRollout = (
  rollout: Rollout,
  facts: RolloutFacts,
): RolloutDecision | undefined => {
  const { order, status } = rollout;
  if (status !== undefined && isReturn(status)) {
    return decideReturn(rollout, status, facts);
  }
  if (status !== undefined && !isTerminal(status.stage)) {
    return isOrderNew(rollout)
      ? { order: status.order, stage: 'rolledBack', reason: 'superseded' }
      : decideRunning(status, facts);
  }
  return order !== undefined && isOrderNew(rollout)
    ? decideStart(order, rollout, facts)
    : undefined;
};
