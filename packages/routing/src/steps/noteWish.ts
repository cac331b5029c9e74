import { toOptionalField } from '@parsleyhall/common';
import type { AnswerHead } from '../answerHead.js';
import type { Observation } from '../observations/observation.js';
import type { RoutingState } from '../routingState.js';
import { getWish } from '../targets/getWish.js';
import type { TargetWish } from '../targets/targetWish.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';

const describeChange = (
  target: string,
  service: string,
  known: TargetWish | undefined,
  { isLeaving, restMs }: AnswerHead,
): readonly Observation[] => [
  ...(isLeaving && known?.isLeaving !== true
    ? [{ type: 'observe', name: 'targetLeaves', fields: { target, service } } as const]
    : []),
  ...(restMs === undefined
    ? []
    : [{ type: 'observe', name: 'targetRefuses', fields: { target, service, restMs } } as const]),
];

/** Takes over what a target says of itself in the head of its answer. */
export const noteWish = (
  state: RoutingState,
  targetId: string,
  head: AnswerHead,
  nowMs: number,
): Outcome => {
  const listed = state.targets.get(targetId)?.listed;
  const { isForeign, isLeaving, restMs } = head;
  if (listed === undefined || isForeign || (!isLeaving && restMs === undefined)) {
    return keep(state);
  }
  const known = getWish(state, listed);
  const wish: TargetWish = {
    ...toOptionalField('startedAtMs', listed.startedAtMs),
    isLeaving: isLeaving || known?.isLeaving === true,
    refusesUntilMs: Math.max(known?.refusesUntilMs ?? 0, nowMs + (restMs ?? 0)),
    saidMs: nowMs,
  };
  return keep(
    { ...state, wishes: state.wishes.set(targetId, wish) },
    ...describeChange(targetId, listed.service, known, head),
  );
};
