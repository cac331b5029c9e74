import { getNumber } from './getNumber.js';
import { getText } from './getText.js';
import type { Line } from './line.js';

const NEVER = -1;

const describeOverload = (line: Line): string => {
  const waitMs = getNumber(line, 'waitMs');
  const isPredicted = line.waitMs !== undefined;
  const wait =
    waitMs === NEVER
      ? 'more urgent work took every slot that this entry gets'
      : `its turn was predicted in ${waitMs} ms`;
  return [
    `the targets of ${getText(line, 'service')} were full and it would have waited in vain`,
    ...(isPredicted ? [wait] : []),
    ...(line.isBeyondQuota === true
      ? ['its team was beyond its quota, so that it went behind the rest']
      : []),
    `it was held ${getNumber(line, 'ageMs')} ms`,
    `its caller would have stayed ${getNumber(line, 'leftMs')} ms at most`,
  ].join('; ');
};

const describeQuota = (line: Line): string =>
  `team ${getText(line, 'team')} had used up its quota of ${getText(line, 'perSecond')} a second with a burst of ${getText(line, 'burst')}; the request cost ${getText(line, 'cost')}`;

const describeUnconfirmed = (line: Line): string =>
  `the configuration (version ${getText(line, 'version')}) was last confirmed ${getText(line, 'configurationAgeMs')} ms before, so that the key might have been taken away since; the store was out of reach, or the clock jumped`;

/** Why an entry answered a request itself. */
export const describeRefusal = (line: Line): string => {
  const version = getText(line, 'version');
  switch (line.reason) {
    case 'overloaded':
      return describeOverload(line);
    case 'quotaExceeded':
      return describeQuota(line);
    case 'configurationUnconfirmed':
      return describeUnconfirmed(line);
    case 'noConfiguration':
      return 'the entry had just started and knew no configuration yet';
    case 'noRoute':
      return `no route of version ${version} fits the host ${getText(line, 'callerHost')} and the path`;
    case 'unknownKey':
      return `version ${version} holds no such key`;
    case 'noTarget':
      return `the list held no target of ${getText(line, 'service')} that takes work`;
    case 'refusedByTargets':
      return `each of ${getText(line, 'sends')} sends met a target that said it had not run the request`;
    case 'deadlinePassed':
      return `its time was up after ${getNumber(line, 'ageMs')} ms of waiting`;
    case 'timedOut':
      return `its time was up ${getNumber(line, 'ageMs')} ms after its arrival, with a send under way or behind it`;
    case 'outcomeUnknown':
      return 'a target that may have run it gave no whole answer, and no other send was allowed';
    case 'callerGone':
      return 'its caller had left before the entry, which was late with its events, read it';
    case 'stopping':
      return 'the entry was stopping and took no more requests';
    case 'bodyTooLarge':
      return 'its body was longer than the operator allows';
    default:
      return `the reason is ${getText(line, 'reason')}`;
  }
};
