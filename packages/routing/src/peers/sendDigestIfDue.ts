import { rememberMemoryUse } from '../memory/rememberMemoryUse.js';
import type { RoutingState } from '../routingState.js';
import { updatePromptFaults } from '../quarantine/updatePromptFaults.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepContext } from '../steps/stepContext.js';
import type { StepResult } from '../steps/stepResult.js';
import { countLiveEntries } from './countLiveEntries.js';
import { getDigestIntervalMs } from './getDigestIntervalMs.js';
import { newDigest } from './newDigest.js';

/** At most one digest out of so many reports on prompt parts, since that makes it several times as long. */
const DIGESTS_PER_PROMPT_REPORT = 3;
/** An unchanged report is repeated after this time, since one may be lost. */
const PROMPT_REPORT_REPEAT_MS = 2_000;

const isPromptReportDue = (
  { promptFaults: { isReportDue, reportedAtMs } }: RoutingState,
  digestIntervalMs: number,
  nowMs: number,
): boolean => {
  const intervalMs = isReportDue
    ? digestIntervalMs * DIGESTS_PER_PROMPT_REPORT
    : PROMPT_REPORT_REPEAT_MS;
  return nowMs - reportedAtMs >= intervalMs;
};

/** Sends a digest to the other entries if the interval since the last one has passed. */
export const sendDigestIfDue = (state: RoutingState, context: StepContext): StepResult => {
  const { nowMs } = context;
  const intervalMs = getDigestIntervalMs(countLiveEntries(state, nowMs) - 1);
  if (nowMs - state.digestSentAtMs < intervalMs) {
    return createStepResult(state);
  }
  const remembered = rememberMemoryUse(state);
  const counted = {
    ...remembered,
    digestSequence: state.digestSequence + 1,
    digestSentAtMs: nowMs,
  };
  const tellsPrompts = isPromptReportDue(state, intervalMs, nowMs);
  const digest = newDigest(counted, context, { tellsPrompts });
  const reported = tellsPrompts
    ? updatePromptFaults(counted, { isReportDue: false, reportedAtMs: nowMs })
    : counted;
  return createStepResult(reported, { type: 'sendDigest', digest });
};
