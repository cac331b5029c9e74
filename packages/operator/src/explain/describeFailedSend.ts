import type { Evidence } from './evidence.js';
import { getNumberField } from './getNumberField.js';
import { getTextField } from './getTextField.js';
import type { ParsedLogLine } from './parsedLogLine.js';

const FAILURE_DESCRIPTIONS: Readonly<Record<string, string>> = {
  neverSent: 'could not be reached; nothing was sent',
  broken: 'closed or lost the connection',
  malformed: 'sent bytes that are not a valid response to this request',
  silent: 'sent nothing for too long',
};

const FAULT_DESCRIPTIONS: Readonly<Record<string, string>> = {
  notAnEvent: 'bytes that are no event',
  noNumber: 'an event without a number',
  noData: 'an event without data',
  wrongStart: 'a first event with a number with which it can not begin',
  numberSkipped: 'an event whose number leaves others out',
  numberTaken: 'an event with the number of one before',
  noEvents: 'a stream without events',
  endsTooEarly: 'a stream that ends before the last event that the caller has',
  noStream: 'a response without events in the place of the rest of a stream',
  tooLong: 'an event that never ended',
  namesAnother: 'a response that names another request',
  namesNone: 'a response that names no request',
  invalidStatus: 'a response with a status that does not exist',
  invalidHead: 'bytes that are not the head of a response',
  unframedEarly: 'a response without length or chunks before it had read the request',
};
const describeFault = (failed: ParsedLogLine): string => {
  const fault = getTextField(failed, 'responseFault');
  if (fault === '-') {
    return '';
  }
  const details = [
    FAULT_DESCRIPTIONS[fault] ?? fault,
    ...(failed.eventId === undefined
      ? []
      : [`id ${JSON.stringify(getTextField(failed, 'eventId'))}`]),
    ...(failed.lastEventId === undefined
      ? []
      : [`the caller had up to ${JSON.stringify(getTextField(failed, 'lastEventId'))}`]),
  ];
  return ` (${details.join('; ')})`;
};

const describeSimilarFailures = (similarFailures: readonly ParsedLogLine[]): string => {
  const hosts = new Set(similarFailures.map(({ host }) => host));
  switch (hosts.size) {
    case 0:
      return 'no other send to it failed at about that time';
    case 1:
      return `${similarFailures.length} other sends to it failed at about that time, all on ${[...hosts].join()}: the target or the network path from there is at fault`;
    default:
      return `${similarFailures.length} other sends to it failed at about that time, on ${hosts.size} hosts: the target is at fault`;
  }
};

/** Describes how the last failed send of a request ended; undefined when no send failed. */
export const describeFailedSend = ({
  failedSends,
  similarFailures,
}: Evidence): string | undefined => {
  const failed = failedSends.at(-1);
  if (failed === undefined) {
    return undefined;
  }
  const failure = getTextField(failed, 'failure');
  const target = getTextField(failed, 'target');
  const afterMs = getNumberField(failed, 'afterMs');
  return `target ${target} ${FAILURE_DESCRIPTIONS[failure] ?? failure}${describeFault(failed)} ${afterMs} ms after the send; ${describeSimilarFailures(similarFailures)}`;
};
