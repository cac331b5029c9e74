import { toOptionalField } from '@parsleyhall/common';
import type { RoutingEvent } from '../routingEvent.js';
import { hasProvenItself } from '../quarantine/hasProvenItself.js';
import { recordAnswer } from '../quarantine/recordAnswer.js';
import { recordSignOfLife } from '../quarantine/recordSignOfLife.js';
import { releaseSend } from '../requests/releaseSend.js';
import { describeRequest } from '../requests/describeRequest.js';
import { isStream } from '../requests/isStream.js';
import { removeRequest } from '../requests/removeRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { recordOutcome } from '../rollouts/recordOutcome.js';
import type { RoutingState } from '../routingState.js';
import { getOwnServiceTimeMs } from '../targetLoad/getOwnServiceTimeMs.js';
import { recordReferenceServiceTime } from '../targetLoad/recordReferenceServiceTime.js';
import { getEventIntervalMs } from '../targets/getEventIntervalMs.js';
import { getMedianServiceTimeMs } from '../targets/getMedianServiceTimeMs.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { updateLatencyModel } from '../targets/updateLatencyModel.js';
import { recordSuccess } from '../targets/recordSuccess.js';
import { updateTarget } from '../targets/updateTarget.js';
import { chainStep } from './chainStep.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';

type ResponseEnd = Extract<RoutingEvent, { type: 'responseEnded' }>;

/** Completes a request whose response was forwarded in full, and updates the latency estimates. */
export const handleResponseEnd = (
  state: RoutingState,
  request: TrackedRequest,
  { events, lastEventId }: Pick<ResponseEnd, 'events' | 'lastEventId'>,
  context: StepContext,
): StepResult => {
  const { send, service } = request;
  const { nowMs } = context;
  if (send === undefined) {
    return createStepResult(state);
  }
  const serviceTimeMs = isStream(request.route)
    ? getEventIntervalMs(send, events, nowMs)
    : nowMs - send.sentAtMs;
  const counted = recordOutcome(state, request, 'answered', nowMs);
  const alive = recordSignOfLife(counted, send.targetId, nowMs);
  const withoutRequest = removeRequest(releaseSend(alive, request), request);
  const recorded = updateTarget(withoutRequest, send.targetId, (target) =>
    serviceTimeMs === undefined
      ? target
      : recordSuccess(target, getOwnServiceTimeMs(serviceTimeMs, target, send, nowMs)),
  );
  const model = updateLatencyModel(getLatencyModel(state, service), request, send, nowMs);
  const isLoadReported = state.targets.get(send.targetId)?.load !== undefined;
  const targets = [...state.targets.values()].filter(({ listed }) => listed.service === service);
  const latencyModel =
    isLoadReported && serviceTimeMs !== undefined
      ? recordReferenceServiceTime(model, serviceTimeMs, getMedianServiceTimeMs(targets))
      : model;
  const ended = createStepResult(
    { ...recorded, latencyModels: state.latencyModels.set(service, latencyModel) },
    {
      type: 'observe',
      name: 'requestAnswered',
      fields: {
        ...describeRequest(request, nowMs),
        targetStatus: send.status ?? 0,
        events,
        ...toOptionalField('lastEventId', lastEventId),
        ...toOptionalField('mediaType', send.mediaType),
        ...toOptionalField('isFramed', send.isFramed),
        waitedMs: Math.round(send.sentAtMs - request.arrivedAtMs),
        longestGapMs: Math.round(send.longestGapMs ?? 0),
        firstMs: Math.round((send.firstByteAtMs ?? nowMs) - request.arrivedAtMs),
      },
    },
  );
  const cleared = hasProvenItself(send)
    ? ended
    : chainStep(ended, (current) => recordAnswer(current, request.sharedPromptParts, nowMs));
  return chainStep(cleared, (current) => dispatchWaiting(current, service, context));
};
