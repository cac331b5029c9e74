import type { Evidence } from './evidence.js';
import { getTimeMs } from './getTimeMs.js';
import { isAboutRequest } from './isAboutRequest.js';
import type { ParsedLogLine } from './parsedLogLine.js';

/** Failures this close in time may have one cause; host clocks rarely differ by more than this. */
const SIMILAR_FAILURE_WINDOW_MS = 2_000;
/** Lines of a process this long before or after the request may help to explain it. */
const CONTEXT_WINDOW_MS = 5_000;
const FINAL_EVENTS = new Set([
  'requestAnswered',
  'requestRefused',
  'requestBrokenOff',
  'callerGone',
  'callTurnedAway',
  'requestEnded',
]);

const getProcessKey = ({ host, process }: ParsedLogLine): string => `${host} ${process}`;

const groupByProcess = (lines: readonly ParsedLogLine[]): readonly (readonly ParsedLogLine[])[] => {
  const groups = new Map<string, ParsedLogLine[]>();
  for (const line of lines) {
    const group = groups.get(getProcessKey(line)) ?? [];
    groups.set(getProcessKey(line), [...group, line]);
  }
  const hasFinalEvent = (group: readonly ParsedLogLine[]): boolean =>
    group.some(({ event }) => FINAL_EVENTS.has(event));
  return [...groups.values()].sort(
    (left, right) => Number(hasFinalEvent(right)) - Number(hasFinalEvent(left)),
  );
};

const findSimilarFailures = (
  lines: readonly ParsedLogLine[],
  id: string,
  failed: ParsedLogLine | undefined,
): readonly ParsedLogLine[] =>
  failed === undefined
    ? []
    : lines.filter(
        (line) =>
          line.event === 'sendFailed' &&
          line.target === failed.target &&
          !isAboutRequest(line, id) &&
          Math.abs(getTimeMs(line) - getTimeMs(failed)) <= SIMILAR_FAILURE_WINDOW_MS,
      );

const findContextLines = (
  lines: readonly ParsedLogLine[],
  requestLines: readonly ParsedLogLine[],
): readonly ParsedLogLine[] => {
  const processes = new Set(requestLines.map(getProcessKey));
  const targets = new Set(requestLines.map((line) => line.target).filter((id) => id !== undefined));
  const times = requestLines.map(getTimeMs);
  const fromMs = Math.min(...times) - CONTEXT_WINDOW_MS;
  const toMs = Math.max(...times) + CONTEXT_WINDOW_MS;
  return lines.filter((line) => {
    const hasNoRequest = line.requestId === undefined && line.attemptId === undefined;
    const hasKnownTarget = line.target === undefined || targets.has(line.target);
    const isInWindow = getTimeMs(line) >= fromMs && getTimeMs(line) <= toMs;
    return hasNoRequest && hasKnownTarget && isInWindow && processes.has(getProcessKey(line));
  });
};

/** Collects the lines that explain a request; undefined when no line is about it. */
export const collectEvidence = (
  lines: readonly ParsedLogLine[],
  id: string,
): Evidence | undefined => {
  const requestLines = lines.filter((line) => isAboutRequest(line, id));
  if (requestLines.length === 0) {
    return undefined;
  }
  const failedSends = requestLines.filter(({ event }) => event === 'sendFailed');
  return {
    byProcess: groupByProcess(requestLines),
    finalLine: requestLines.findLast(({ event }) => FINAL_EVENTS.has(event)),
    failedSends,
    similarFailures: findSimilarFailures(lines, id, failedSends.at(-1)),
    around: findContextLines(lines, requestLines),
  };
};
