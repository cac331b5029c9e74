import { defineField } from '@parsleyhall/common';
import type { AnswerHead } from '../answerHead.js';
import type { RoutingState } from '../routingState.js';
import type { TargetWish } from '../targets/targetWish.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';

/** Takes over what a target says of itself in the head of its answer. */
export const noteWish = (
  state: RoutingState,
  targetId: string,
  { isForeign, isLeaving }: AnswerHead,
  nowMs: number,
): Outcome => {
  const listed = state.targets.get(targetId)?.listed;
  if (isForeign || !isLeaving || listed === undefined) {
    return keep(state);
  }
  const { startedAtMs, service } = listed;
  const known = state.wishes.get(targetId);
  const wish: TargetWish = {
    ...defineField('startedAtMs', startedAtMs),
    isLeaving,
    saidMs: nowMs,
  };
  const next = { ...state, wishes: state.wishes.set(targetId, wish) };
  return known?.isLeaving === true && known.startedAtMs === startedAtMs
    ? keep(next)
    : keep(next, { type: 'observe', name: 'targetLeaves', fields: { target: targetId, service } });
};
