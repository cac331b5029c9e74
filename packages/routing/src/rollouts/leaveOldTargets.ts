import { isPeerAlive } from '../peers/isPeerAlive.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { canRunAgain } from '../retries/canRunAgain.js';
import type { RoutingState } from '../routingState.js';
import { chainStep } from '../steps/chainStep.js';
import { createStepResult } from '../steps/createStepResult.js';
import { retryOrRefuse } from '../steps/retryOrRefuse.js';
import { runStepForEach } from '../steps/runStepForEach.js';
import type { StepContext } from '../steps/stepContext.js';
import type { StepResult } from '../steps/stepResult.js';
import { getLeaseMs } from './getLeaseMs.js';
import { getRolloutTimes } from './getRolloutTimes.js';
import { hasQuorum } from './hasQuorum.js';
import { isInTouch } from './isInTouch.js';
import { isTerminal } from './isTerminal.js';
import type { Rollout } from './rollout.js';

/** Requests are at old targets for no longer than this after the end of a roll-out. */
const END_CHECKED_MS = 5_000;

type Leaving = 'all' | 'repeatable' | 'none';

const isUnheard = ({ peers, settings }: RoutingState, nowMs: number): boolean =>
  peers.some(
    (peer) =>
      isPeerAlive(peer, nowMs) && peer.digest.rollouts?.unheard?.includes(settings.host) === true,
  );

/**
 * Whether the entry that decides may not hear this one and completes the roll-out a lease after the record of the stage.
 * The record may be older than the moment at which this entry learned of it.
 */
const mayBeUnheard = (state: RoutingState, rollout: Rollout, nowMs: number): boolean =>
  nowMs - rollout.stageNotBeforeMs >= getLeaseMs(state) &&
  (!hasQuorum(state, nowMs) || isUnheard(state, nowMs));

const getLeaving = (state: RoutingState, rollout: Rollout, nowMs: number): Leaving => {
  const { status, startedAtMs } = rollout;
  if (status === undefined || status.stage === 'rolledBack') {
    return 'none';
  }
  if (status.stage === 'completed') {
    return 'all';
  }
  const { decideFromMs, moveFromMs } = getRolloutTimes(status.order.durationMs);
  if (nowMs - startedAtMs >= decideFromMs && !isInTouch(state, getLeaseMs(state), nowMs)) {
    return 'all';
  }
  if (status.stage !== 'leavingOld') {
    return 'none';
  }
  if (mayBeUnheard(state, rollout, nowMs)) {
    return 'all';
  }
  return nowMs - startedAtMs >= moveFromMs ? 'repeatable' : 'none';
};

const leave = (state: RoutingState, request: TrackedRequest, context: StepContext): StepResult => {
  const { requestId, send, service } = request;
  if (send === undefined) {
    return createStepResult(state);
  }
  const cancelled = createStepResult(
    state,
    { type: 'cancelSend', requestId, sendId: send.sendId },
    {
      type: 'observe',
      name: 'sendLeftForRollout',
      fields: { requestId, sendId: send.sendId, target: send.targetId, service },
    },
  );
  return chainStep(cancelled, (current) => retryOrRefuse(current, request, 'unknown', context));
};

const leaveService = (state: RoutingState, rollout: Rollout, context: StepContext): StepResult => {
  const leaving = getLeaving(state, rollout, context.nowMs);
  const order = rollout.status?.order;
  if (leaving === 'none' || order === undefined) {
    return createStepResult(state);
  }
  const atOld = [...state.requests.values()].filter(
    ({ service, send }) =>
      service === order.service && send !== undefined && send.targetVersion !== order.version,
  );
  return runStepForEach(state, atOld, (next, request) =>
    leaving === 'all' || (!rollout.isJudgedBad && canRunAgain(next, request, context))
      ? leave(next, request, context)
      : createStepResult(next),
  );
};

const mayHaveLeft = ({ status, stageSinceMs }: Rollout, nowMs: number): boolean =>
  status !== undefined && (!isTerminal(status.stage) || nowMs - stageSinceMs < END_CHECKED_MS);

/** Gives up or moves requests at old targets that may stop at any moment. */
export const leaveOldTargets = (state: RoutingState, context: StepContext): StepResult =>
  runStepForEach(state, state.rollouts.byService.values(), (next, rollout) =>
    mayHaveLeft(rollout, context.nowMs)
      ? leaveService(next, rollout, context)
      : createStepResult(next),
  );
