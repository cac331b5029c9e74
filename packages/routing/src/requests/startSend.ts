import { getVersion } from '../configuration/getVersion.js';
import type { RoutingState } from '../routingState.js';
import { keep } from '../steps/keep.js';
import type { Outcome } from '../steps/outcome.js';
import type { Candidate } from '../targets/candidate.js';
import { updateTarget } from '../targets/updateTarget.js';
import { describeRequest } from './describeRequest.js';
import { isStream } from './isStream.js';
import { putRequest } from './putRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Hands a waiting request over to a target. */
export const startSend = (
  state: RoutingState,
  waiting: TrackedRequest,
  { target, totalInFlight }: Candidate,
  nowMs: number,
): Outcome => {
  const sendId = state.nextSendId;
  const { id, address } = target.listed;
  const request: TrackedRequest = {
    ...waiting,
    send: {
      sendId,
      targetId: id,
      sentMs: nowMs,
      latestMs: nowMs,
      mayHaveRunBefore: waiting.mayHaveRun,
    },
    triedTargets: [...waiting.triedTargets, id],
    arrivals: waiting.arrivals + 1,
    sends: waiting.sends + 1,
    mayHaveRun: true,
  };
  const counted = updateTarget(putRequest(state, request), id, (known) => ({
    ...known,
    inFlight: known.inFlight + 1,
    prefillTokens: known.prefillTokens + request.promptTokens,
  }));
  return keep(
    { ...counted, nextSendId: sendId + 1 },
    {
      type: 'send',
      requestId: request.requestId,
      sendId,
      targetId: id,
      address,
      ...(request.team === undefined ? {} : { team: request.team }),
      remainingMs: Math.ceil(request.deadlineAtMs - nowMs),
      isWhole: !isStream(request.route),
    },
    {
      type: 'observe',
      name: 'requestSent',
      fields: {
        ...describeRequest(request, nowMs),
        sendId,
        address,
        totalInFlight,
        version: getVersion(state),
      },
    },
  );
};
