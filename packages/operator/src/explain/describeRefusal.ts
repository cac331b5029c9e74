import { getNumberField } from './getNumberField.js';
import { getTextField } from './getTextField.js';
import type { ParsedLogLine } from './parsedLogLine.js';

/** Value of `waitMs` when the request was predicted never to start. */
const NEVER_STARTS = -1;

const describeOverload = (line: ParsedLogLine): string => {
  const waitMs = getNumberField(line, 'waitMs');
  const isPredicted = line.waitMs !== undefined;
  const wait =
    waitMs === NEVER_STARTS
      ? 'more urgent work was taking every slot that this entry may use'
      : `its turn was predicted in ${waitMs} ms`;
  return [
    `the targets of ${getTextField(line, 'service')} were full, and it was predicted not to start in time`,
    ...(isPredicted ? [wait] : []),
    ...(line.isBeyondQuota === true
      ? ['its team was over its quota, so that it was queued behind the others']
      : []),
    `it had waited ${getNumberField(line, 'ageMs')} ms`,
    `its caller would have waited for another ${getNumberField(line, 'leftMs')} ms at most`,
  ].join('; ');
};

const describeQuota = (line: ParsedLogLine): string =>
  `team ${getTextField(line, 'team')} had used up its quota of ${getTextField(line, 'perSecond')} a second with a burst of ${getTextField(line, 'burst')}; the request cost ${getTextField(line, 'cost')}`;

const describeUnconfirmedConfiguration = (line: ParsedLogLine): string =>
  `the configuration (version ${getTextField(line, 'version')}) was last confirmed ${getTextField(line, 'configurationAgeMs')} ms before, so that the key might have been revoked since; the store was unreachable, or the clock jumped`;

/** Describes why an entry refused a request or cut off its response. */
export const describeRefusal = (line: ParsedLogLine): string => {
  const version = getTextField(line, 'version');
  switch (line.reason) {
    case 'overloaded':
      return describeOverload(line);
    case 'quotaExceeded':
      return describeQuota(line);
    case 'configurationUnconfirmed':
      return describeUnconfirmedConfiguration(line);
    case 'noConfiguration':
      return 'the entry had just started and had no configuration yet';
    case 'noRoute':
      return `no route of version ${version} matches the host ${getTextField(line, 'callerHost')} and the path`;
    case 'unknownKey':
      return `version ${version} of the configuration has no such key`;
    case 'keyChanged':
      return `version ${version} of the configuration withdrew its key from team ${getTextField(line, 'team')}, or gave it to another one, while it waited`;
    case 'noTarget':
      return `the list contained no target of ${getTextField(line, 'service')} that accepts work`;
    case 'refusedByTargets':
      return `each of ${getTextField(line, 'sends')} sends reached a target that reported not having run the request`;
    case 'deadlinePassed':
      return `its deadline passed after ${getNumberField(line, 'ageMs')} ms of waiting`;
    case 'timedOut':
      return `its deadline passed ${getNumberField(line, 'ageMs')} ms after its arrival, during or after a send`;
    case 'outcomeUnknown':
      return 'a target that may have run it gave no complete response, and no retry was allowed';
    case 'promptQuarantined':
      return `requests with the prompt parts ${getTextField(line, 'promptParts')} had crashed targets and were under quarantine`;
    case 'exceedsMemory':
      return 'it would hold more tokens than the memory of a target';
    case 'callerGone':
      return 'its caller had disconnected before the entry, whose event loop was behind, read it';
    case 'stopping':
      return 'the entry was stopping and accepted no more requests';
    case 'bodyTooLarge':
      return 'its body was longer than the operator allows';
    default:
      return `the reason is ${getTextField(line, 'reason')}`;
  }
};
