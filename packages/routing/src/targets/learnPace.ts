import type { Send } from '../requests/send.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { isStream } from '../requests/isStream.js';
import { blend } from './blend.js';
import type { ServicePace } from './servicePace.js';

const WEIGHT = 0.05;

/** Learns from a send that ended well. */
export const learnPace = (
  pace: ServicePace,
  request: TrackedRequest,
  send: Send,
  nowMs: number,
): ServicePace => {
  const runMs = blend(pace.runMs, nowMs - send.sentMs, WEIGHT);
  const beganMs = send.beganMs ?? nowMs;
  if (!isStream(request.route) || request.promptTokens === 0 || request.outputTokens === 0) {
    return { ...pace, runMs };
  }
  return {
    runMs,
    prefillMsPerToken: blend(
      pace.prefillMsPerToken,
      (beganMs - send.sentMs) / request.promptTokens,
      WEIGHT,
    ),
    outputMsPerToken: blend(
      pace.outputMsPerToken,
      (nowMs - beganMs) / request.outputTokens,
      WEIGHT,
    ),
  };
};
