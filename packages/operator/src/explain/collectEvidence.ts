import type { Evidence } from './evidence.js';
import { getTimeMs } from './getTimeMs.js';
import { isAbout } from './isAbout.js';
import type { Line } from './line.js';

/** Clocks of hosts differ by no more than this as a rule. */
const ALIKE_WITHIN_MS = 2_000;
/** How far before and after the request a process's other lines may explain it. */
const AROUND_MS = 5_000;
const LAST_EVENTS = new Set([
  'requestAnswered',
  'requestRefused',
  'requestBrokenOff',
  'callerGone',
  'callTurnedAway',
  'requestEnded',
]);

const getProcess = ({ host, process }: Line): string => `${host} ${process}`;

const groupByProcess = (lines: readonly Line[]): readonly (readonly Line[])[] => {
  const groups = new Map<string, Line[]>();
  for (const line of lines) {
    const group = groups.get(getProcess(line)) ?? [];
    groups.set(getProcess(line), [...group, line]);
  }
  const hasLast = (group: readonly Line[]): boolean =>
    group.some(({ event }) => LAST_EVENTS.has(event));
  return [...groups.values()].sort((left, right) => Number(hasLast(right)) - Number(hasLast(left)));
};

const findAlike = (
  lines: readonly Line[],
  id: string,
  failed: Line | undefined,
): readonly Line[] =>
  failed === undefined
    ? []
    : lines.filter(
        (line) =>
          line.event === 'sendFailed' &&
          line.target === failed.target &&
          !isAbout(line, id) &&
          Math.abs(getTimeMs(line) - getTimeMs(failed)) <= ALIKE_WITHIN_MS,
      );

const findAround = (lines: readonly Line[], own: readonly Line[]): readonly Line[] => {
  const processes = new Set(own.map(getProcess));
  const targets = new Set(own.map((line) => line.target).filter((id) => id !== undefined));
  const times = own.map(getTimeMs);
  const fromMs = Math.min(...times) - AROUND_MS;
  const toMs = Math.max(...times) + AROUND_MS;
  return lines.filter((line) => {
    const isBelief = line.requestId === undefined && line.attemptId === undefined;
    const isOfTarget = line.target === undefined || targets.has(line.target);
    const isNear = getTimeMs(line) >= fromMs && getTimeMs(line) <= toMs;
    return isBelief && isOfTarget && isNear && processes.has(getProcess(line));
  });
};

/** Finds what explains a request; undefined where no line is about it. */
export const collectEvidence = (lines: readonly Line[], id: string): Evidence | undefined => {
  const own = lines.filter((line) => isAbout(line, id));
  if (own.length === 0) {
    return undefined;
  }
  const failedSends = own.filter(({ event }) => event === 'sendFailed');
  return {
    byProcess: groupByProcess(own),
    last: own.findLast(({ event }) => LAST_EVENTS.has(event)),
    failedSends,
    alike: findAlike(lines, id, failedSends.at(-1)),
    around: findAround(lines, own),
  };
};
