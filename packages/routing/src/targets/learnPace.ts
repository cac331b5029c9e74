import type { Send } from '../requests/send.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { isStream } from '../requests/isStream.js';
import { blend } from './blend.js';
import type { ServicePace } from './servicePace.js';

const WEIGHT = 0.05;
/** Prompts of fewer tokens are read within one step or two of an engine. */
const SHORT_PROMPT_TOKENS = 1_000;

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
  const firstMs = beganMs - send.sentMs;
  const isShort = request.promptTokens < SHORT_PROMPT_TOKENS;
  return {
    runMs,
    firstMs: isShort ? blend(pace.firstMs, firstMs, WEIGHT) : pace.firstMs,
    prefillMsPerToken: isShort
      ? pace.prefillMsPerToken
      : blend(
          pace.prefillMsPerToken,
          Math.max(0, firstMs - pace.firstMs) / request.promptTokens,
          WEIGHT,
        ),
    outputMsPerToken: blend(
      pace.outputMsPerToken,
      (nowMs - beganMs) / request.outputTokens,
      WEIGHT,
    ),
  };
};
