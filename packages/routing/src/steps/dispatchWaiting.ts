import { canWaitAtHome } from '../dataCentres/canWaitAtHome.js';
import { getLocality } from '../dataCentres/getLocality.js';
import type { Locality } from '../dataCentres/locality.js';
import type { TargetChoice } from '../dataCentres/targetChoice.js';
import { updateCrossings } from '../dataCentres/updateCrossings.js';
import { fitsInto } from '../memory/fitsInto.js';
import { getMemoryHold } from '../memory/getMemoryHold.js';
import { getRoom } from '../memory/getRoom.js';
import { orderWaiting } from '../memory/orderWaiting.js';
import { recordMemorySend } from '../memory/recordMemorySend.js';
import { selectRoom } from '../memory/selectRoom.js';
import { updateMemoryHold } from '../memory/updateMemoryHold.js';
import { countLiveEntries } from '../peers/countLiveEntries.js';
import { isExpired } from '../requests/isExpired.js';
import { startSend } from '../requests/startSend.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { groupByRollout } from '../rollouts/groupByRollout.js';
import type { RoutingState } from '../routingState.js';
import type { Candidate } from '../targets/candidate.js';
import { chooseTarget } from '../targets/chooseTarget.js';
import { getCandidates } from '../targets/getCandidates.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { getMedianServiceTimeMs } from '../targets/getMedianServiceTimeMs.js';
import { predictDurationMs } from '../targets/predictDurationMs.js';
import { chainStep } from './chainStep.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';

const WITH_EXPOSED = { includesExposed: true };

/**
 * First attempts that are evaluated without being sent, per dispatch, where data centres are chosen between. Bounds the
 * work of an event, which is proportional to evaluated requests and targets.
 */
const MAX_UNSENT_EVALUATIONS = 16;

const mayBeSent = (request: TrackedRequest, locality: Locality | undefined): boolean =>
  locality === undefined || locality.usableSlots > 0 || request.triedTargetIds.length > 0;

const hasFreeSlots = (candidates: readonly Candidate[]): boolean =>
  candidates.some(({ freeSlots }) => freeSlots > 0);

/**
 * Sends a service's waiting requests, in order, while targets have free slots and room in their memory. Expired ones are
 * left to the next tick.
 */
export const dispatchWaiting = (
  state: RoutingState,
  service: string,
  context: StepContext,
): StepResult => {
  const { settings, nowMs } = context;
  const queue = state.waiting.get(service);
  if (queue === undefined || queue.isEmpty()) {
    return createStepResult(state);
  }
  const latencyModel = getLatencyModel(state, service);
  const liveEntries = settings.crossDataCentre === undefined ? 1 : countLiveEntries(state, nowMs);
  let candidates = getCandidates(state, service, nowMs, WITH_EXPOSED);
  if (!hasFreeSlots(candidates)) {
    return createStepResult(state);
  }
  const medianServiceTimeMs = getMedianServiceTimeMs(candidates.map(({ target }) => target));
  const isMemoryLimited = candidates.some(({ memory }) => memory !== undefined);
  let result = createStepResult(updateCrossings(state, service, candidates, context));
  const evaluate = () =>
    getLocality({
      state: result.state,
      service,
      candidates,
      liveEntries,
      medianServiceTimeMs,
      context,
    });
  let locality = evaluate();
  let isAnyFree = hasFreeSlots(candidates);
  let workAheadMs = 0;
  let room = getRoom(candidates);
  let isHoldChosen = false;
  let unsent = 0;
  // No slot at home that is free now is good enough for requests that can wait for another one.
  let isWaitingForHome = false;
  for (const request of orderWaiting(state, service, candidates, nowMs)) {
    if (isExpired(request, nowMs)) {
      continue;
    }
    const canWait =
      locality !== undefined &&
      canWaitAtHome({
        request,
        locality,
        latencyModel,
        medianServiceTimeMs,
        workAheadMs,
        nowMs,
      });
    const isHomeTaken = isWaitingForHome || locality?.homeSlots.free === 0;
    const isEvaluated =
      fitsInto(request, room) && mayBeSent(request, locality) && !(canWait && isHomeTaken);
    const hold = getMemoryHold(result.state, service, nowMs);
    const choose = (group: readonly Candidate[]): TargetChoice | undefined =>
      chooseTarget({
        request,
        candidates: selectRoom(group, request, hold),
        latencyModel,
        medianServiceTimeMs,
        dataCentre: settings.dataCentre,
        locality,
        workAheadMs,
        canWait,
        nowMs,
      });
    const groups = isEvaluated ? groupByRollout(result.state, request, candidates, nowMs) : [];
    const chosen = groups.reduce<TargetChoice | undefined>(
      (choice, group) => choice ?? choose(group),
      undefined,
    );
    if (chosen !== undefined) {
      result = chainStep(result, (current) =>
        startSend(recordMemorySend(current, request, nowMs), request, chosen, nowMs),
      );
      candidates = getCandidates(result.state, service, nowMs, WITH_EXPOSED);
      locality = evaluate();
      isAnyFree = hasFreeSlots(candidates);
      room = getRoom(candidates);
      continue;
    }
    if (!isAnyFree) {
      return result;
    }
    workAheadMs += predictDurationMs(request, latencyModel);
    if (!isHoldChosen) {
      const held = updateMemoryHold(result.state, request, candidates, nowMs);
      result = { ...result, state: held };
      isHoldChosen = true;
    }
    if (!isEvaluated || isMemoryLimited || locality === undefined) {
      continue;
    }
    isWaitingForHome ||= canWait;
    unsent += request.triedTargetIds.length === 0 ? 1 : 0;
    if (unsent === MAX_UNSENT_EVALUATIONS) {
      return result;
    }
  }
  return result;
};
