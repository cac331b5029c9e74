import type { Send } from '../requests/send.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { isStream } from '../requests/isStream.js';
import { updateAverage } from './updateAverage.js';
import type { LatencyModel } from './latencyModel.js';

/** The weight of one response in the moving averages. */
const SAMPLE_WEIGHT = 0.05;
/** An engine processes prompts of fewer tokens within one or two steps. */
const SHORT_PROMPT_TOKENS = 1_000;

/** Updates the estimates with a send whose response was complete. */
export const updateLatencyModel = (
  latencyModel: LatencyModel,
  request: TrackedRequest,
  send: Send,
  nowMs: number,
): LatencyModel => {
  const durationMs = updateAverage(
    latencyModel.meanDurationMs,
    nowMs - send.sentAtMs,
    SAMPLE_WEIGHT,
  );
  const firstByteAtMs = send.firstByteAtMs ?? nowMs;
  if (
    !isStream(request.route) ||
    request.promptTokens === 0 ||
    request.expectedOutputTokens === 0
  ) {
    return { ...latencyModel, meanDurationMs: durationMs };
  }
  const firstEventMs = firstByteAtMs - send.sentAtMs;
  const isShort = request.promptTokens < SHORT_PROMPT_TOKENS;
  return {
    ...latencyModel,
    meanDurationMs: durationMs,
    firstEventMs: isShort
      ? updateAverage(latencyModel.firstEventMs, firstEventMs, SAMPLE_WEIGHT)
      : latencyModel.firstEventMs,
    prefillMsPerToken: isShort
      ? latencyModel.prefillMsPerToken
      : updateAverage(
          latencyModel.prefillMsPerToken,
          Math.max(0, firstEventMs - latencyModel.firstEventMs) / request.promptTokens,
          SAMPLE_WEIGHT,
        ),
    outputMsPerToken: updateAverage(
      latencyModel.outputMsPerToken,
      (nowMs - firstByteAtMs) / request.expectedOutputTokens,
      SAMPLE_WEIGHT,
    ),
  };
};
