import { describeAnswer } from './describeAnswer.js';
import { describeFailedSend } from './describeFailedSend.js';
import { describeRefusal } from './describeRefusal.js';
import type { Evidence } from './evidence.js';
import type { Explanation } from './explanation.js';
import { getNumber } from './getNumber.js';
import { getText } from './getText.js';
import type { Line } from './line.js';

/** A caller that leaves so shortly before its deadline has waited for all of it. */
const DEADLINE_NEAR_MS = 100;

const describeRun = (line: Line): string =>
  line.mayHaveRun === true ? 'it may have run' : 'it has not run and will not';

const withFailedSend = (evidence: Evidence, cause: string): string => {
  const failed = describeFailedSend(evidence);
  return failed === undefined ? cause : `${failed}. Then ${cause}`;
};

const explainGone = (evidence: Evidence, last: Line): Explanation => {
  const ageMs = getNumber(last, 'ageMs');
  const where =
    last.target === undefined
      ? 'it was still waiting for a slot'
      : `target ${getText(last, 'target')} was at work on it`;
  const isUp = getNumber(last, 'leftMs') < DEADLINE_NEAR_MS;
  return {
    outcome: `the caller left after ${ageMs} ms`,
    cause: withFailedSend(
      evidence,
      `${isUp ? 'its time was up' : 'the caller hung up'} while ${where}`,
    ),
  };
};

const explainOpen = ({ byProcess, around }: Evidence): Explanation => {
  const line = byProcess[0]?.at(-1);
  const host = line?.host ?? '';
  const restart = around.find((other) => other.event === 'started' && other.host === host);
  const after = restart === undefined ? '' : ` ${host} started again at ${restart.time}.`;
  return {
    outcome: 'no process wrote how it ended',
    cause: `the process that had it ended first, or the lines end here.${after}`,
  };
};

/** Tells from the lines what became of a request, and why. */
export const explainEvidence = (evidence: Evidence): Explanation => {
  const { last } = evidence;
  if (last === undefined) {
    return explainOpen(evidence);
  }
  switch (last.event) {
    case 'requestAnswered':
      return {
        outcome: `target ${getText(last, 'target')} answered ${getText(last, 'targetStatus')}`,
        cause: withFailedSend(evidence, describeAnswer(last)),
      };
    case 'requestRefused':
    case 'callTurnedAway':
      return {
        outcome:
          last.status === undefined
            ? 'dropped without an answer; it has not run and will not'
            : `answered ${getText(last, 'status')} by the entry; ${describeRun(last)}`,
        cause: withFailedSend(evidence, describeRefusal(last)),
      };
    case 'requestBrokenOff':
      return {
        outcome: 'cut after its answer had begun; it may have run',
        cause: withFailedSend(evidence, describeRefusal(last)),
      };
    case 'callerGone':
      return explainGone(evidence, last);
    default:
      return {
        outcome: `${getText(last, 'outcome')} after ${getNumber(last, 'totalMs')} ms`,
        cause: `the reason is ${getText(last, 'reason')}`,
      };
  }
};
