import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepContext } from '../steps/stepContext.js';
import type { StepResult } from '../steps/stepResult.js';
import { countLiveEntries } from './countLiveEntries.js';
import { getDigestIntervalMs } from './getDigestIntervalMs.js';
import { newDigest } from './newDigest.js';

/** Sends a digest to the other entries if the interval since the last one has passed. */
export const sendDigestIfDue = (state: RoutingState, context: StepContext): StepResult => {
  const { nowMs } = context;
  const intervalMs = getDigestIntervalMs(countLiveEntries(state, nowMs) - 1);
  if (nowMs - state.digestSentAtMs < intervalMs) {
    return createStepResult(state);
  }
  const counted = { ...state, digestSequence: state.digestSequence + 1, digestSentAtMs: nowMs };
  return createStepResult(counted, { type: 'sendDigest', digest: newDigest(counted, context) });
};
