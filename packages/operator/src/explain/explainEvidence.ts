import { describeResponse } from './describeResponse.js';
import { describeFailedSend } from './describeFailedSend.js';
import { describeRefusal } from './describeRefusal.js';
import type { Evidence } from './evidence.js';
import type { Explanation } from './explanation.js';
import { getNumberField } from './getNumberField.js';
import { getTextField } from './getTextField.js';
import type { ParsedLogLine } from './parsedLogLine.js';

/** A caller that disconnects this shortly before its deadline is taken to have waited until the deadline. */
const DEADLINE_TOLERANCE_MS = 100;

const describeWhetherItRan = (line: ParsedLogLine): string =>
  line.mayHaveRun === true ? 'it may have run' : 'it has not run and will not';

const prependFailedSend = (evidence: Evidence, cause: string): string => {
  const failed = describeFailedSend(evidence);
  return failed === undefined ? cause : `${failed}. Then ${cause}`;
};

const explainCallerDisconnect = (evidence: Evidence, finalLine: ParsedLogLine): Explanation => {
  const ageMs = getNumberField(finalLine, 'ageMs');
  const progress =
    finalLine.target === undefined
      ? 'it was still waiting for a slot'
      : `target ${getTextField(finalLine, 'target')} was processing it`;
  const isDeadlineReached = getNumberField(finalLine, 'leftMs') < DEADLINE_TOLERANCE_MS;
  return {
    outcome: `the caller disconnected after ${ageMs} ms`,
    cause: prependFailedSend(
      evidence,
      `${isDeadlineReached ? 'its deadline passed' : 'the caller hung up'} while ${progress}`,
    ),
  };
};

const explainMissingEnd = ({ byProcess, around }: Evidence): Explanation => {
  const lastLine = byProcess[0]?.at(-1);
  const host = lastLine?.host ?? '';
  const restart = around.find((other) => other.event === 'started' && other.host === host);
  const restartNote = restart === undefined ? '' : ` ${host} started again at ${restart.time}.`;
  return {
    outcome: 'no process logged how it ended',
    cause: `the process that handled it ended before it, or later lines are missing.${restartNote}`,
  };
};

/** Derives the outcome of a request and its cause from the log lines. */
export const explainEvidence = (evidence: Evidence): Explanation => {
  const { finalLine } = evidence;
  if (finalLine === undefined) {
    return explainMissingEnd(evidence);
  }
  switch (finalLine.event) {
    case 'requestAnswered':
      return {
        outcome: `target ${getTextField(finalLine, 'target')} answered ${getTextField(finalLine, 'targetStatus')}`,
        cause: prependFailedSend(evidence, describeResponse(finalLine)),
      };
    case 'requestRefused':
    case 'callTurnedAway':
      return {
        outcome:
          finalLine.status === undefined
            ? 'dropped without a response; it has not run and will not'
            : `answered ${getTextField(finalLine, 'status')} by the entry; ${describeWhetherItRan(finalLine)}`,
        cause: prependFailedSend(evidence, describeRefusal(finalLine)),
      };
    case 'requestBrokenOff':
      return {
        outcome: 'cut off after its response had begun; it may have run',
        cause: prependFailedSend(evidence, describeRefusal(finalLine)),
      };
    case 'callerGone':
      return explainCallerDisconnect(evidence, finalLine);
    default:
      return {
        outcome: `${getTextField(finalLine, 'outcome')} after ${getNumberField(finalLine, 'totalMs')} ms`,
        cause: `the reason is ${getTextField(finalLine, 'reason')}`,
      };
  }
};
