import type { Evidence } from './evidence.js';
import { getNumber } from './getNumber.js';
import { getText } from './getText.js';
import type { Line } from './line.js';

const FAILURES: Readonly<Record<string, string>> = {
  neverSent: 'could not be reached; nothing was sent',
  broken: 'broke off',
  malformed: 'sent bytes that were no answer to this request',
  silent: 'said nothing for too long',
};

const describeAlike = (alike: readonly Line[]): string => {
  const hosts = new Set(alike.map(({ host }) => host));
  switch (hosts.size) {
    case 0:
      return 'no other send to it failed at about that time';
    case 1:
      return `${alike.length} other sends to it failed at about that time, all on ${[...hosts].join()}: the target or the path from there is at fault`;
    default:
      return `${alike.length} other sends to it failed at about that time, on ${hosts.size} hosts: the target is at fault`;
  }
};

/** How the last failed send of a request ended; undefined where none failed. */
export const describeFailedSend = ({ failedSends, alike }: Evidence): string | undefined => {
  const failed = failedSends.at(-1);
  if (failed === undefined) {
    return undefined;
  }
  const failure = getText(failed, 'failure');
  const target = getText(failed, 'target');
  const afterMs = getNumber(failed, 'afterMs');
  return `target ${target} ${FAILURES[failure] ?? failure} ${afterMs} ms after the send; ${describeAlike(alike)}`;
};
