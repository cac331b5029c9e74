import { toOptionalField } from '@parsleyhall/common';
import { getVersion } from '../configuration/getVersion.js';
import { recordCrossing } from '../dataCentres/recordCrossing.js';
import type { TargetChoice } from '../dataCentres/targetChoice.js';
import { takeAllowance } from '../limits/takeAllowance.js';
import { recordExposure } from '../rollouts/recordExposure.js';
import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { countNetSends } from '../targetLoad/countNetSends.js';
import { getWorkTimeFactor } from '../targetLoad/getWorkTimeFactor.js';
import { updateTarget } from '../targets/updateTarget.js';
import { describePromptParts } from './describePromptParts.js';
import { describeRequest } from './describeRequest.js';
import { isStream } from './isStream.js';
import { putRequest } from './putRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Sends a waiting request to a target and counts it towards the target's load. */
export const startSend = (
  state: RoutingState,
  waiting: TrackedRequest,
  {
    candidate: { target, totalInFlight, memory },
    firstEventMs,
    durationMs,
    placement,
  }: TargetChoice,
  nowMs: number,
): StepResult => {
  const sendId = state.nextSendId;
  const { id, address, dataCentre, version } = target.listed;
  const workTimeFactor =
    target.load === undefined ? undefined : getWorkTimeFactor(target.load, nowMs);
  const request: TrackedRequest = {
    ...waiting,
    send: {
      sendId,
      targetId: id,
      sentAtMs: nowMs,
      predictedFirstMs: isStream(waiting.route) ? firstEventMs : durationMs,
      ...toOptionalField('targetVersion', version),
      lastByteAtMs: nowMs,
      ...toOptionalField('workTimeFactor', workTimeFactor),
      mayHaveRunBefore: waiting.mayHaveRun,
    },
    triedTargetIds: [...waiting.triedTargetIds, id],
    attempts: waiting.attempts + 1,
    sends: waiting.sends + 1,
    mayHaveRun: true,
  };
  const exposed = recordExposure(state, waiting, version);
  const charged = takeAllowance(putRequest(exposed, request), id);
  const counted = recordCrossing(charged, request.service, dataCentre);
  const withLoad = updateTarget(counted, id, (known) => ({
    ...known,
    lastSentAtMs: nowMs,
    netSends: countNetSends(known, state.digestSequence, 1),
    inFlight: known.inFlight + 1,
    heldTokens: known.heldTokens + request.heldTokens,
    pendingPromptTokens: known.pendingPromptTokens + request.promptTokens,
  }));
  return createStepResult(
    { ...withLoad, nextSendId: sendId + 1 },
    {
      type: 'send',
      requestId: request.requestId,
      sendId,
      targetId: id,
      address,
      dataCentre,
      ...(request.team === undefined ? {} : { team: request.team }),
      remainingMs: Math.ceil(request.deadlineAtMs - nowMs),
      isBuffered: !isStream(request.route),
      isResumable: request.route.kind === 'resumableStream',
    },
    {
      type: 'observe',
      name: 'requestSent',
      fields: {
        ...describeRequest(request, nowMs),
        sendId,
        address,
        totalInFlight,
        placement,
        version: getVersion(state),
        ...describePromptParts(request),
        ...(workTimeFactor === undefined ? {} : { workTimeFactor }),
        ...(memory === undefined
          ? {}
          : { heldTokens: request.heldTokens, freeTokens: Math.round(memory.freeTokens) }),
      },
    },
  );
};
