import type { Evidence } from './evidence.js';
import type { Explanation } from './explanation.js';
import { getTimeMs } from './getTimeMs.js';
import type { ParsedLogLine } from './parsedLogLine.js';

const TIME_WIDTH = 8;
/** Fields that every line has or that the heading shows. */
const OMITTED_FIELDS = new Set([
  'attemptId',
  'dataCentre',
  'event',
  'host',
  'hostname',
  'level',
  'msg',
  'name',
  'pid',
  'process',
  'time',
  'v',
]);

const formatFields = (line: ParsedLogLine): string =>
  Object.entries(line)
    .filter(([field]) => !OMITTED_FIELDS.has(field))
    .map(
      ([field, value]) => `${field}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
    )
    .join(' ');

const formatLine = (line: ParsedLogLine, fromMs: number): string =>
  `${String(getTimeMs(line) - fromMs).padStart(TIME_WIDTH)} ms  ${line.event}  ${formatFields(line)}`;

const formatProcess = (
  lines: readonly ParsedLogLine[],
  allContextLines: readonly ParsedLogLine[],
): readonly string[] => {
  const [first] = lines;
  if (first === undefined) {
    return [];
  }
  const { host, process, time } = first;
  const fromMs = getTimeMs(first);
  const contextLines = allContextLines.filter(
    (line) => line.host === host && line.process === process,
  );
  return [
    '',
    `${host}, ${process}, from ${time} by its own clock`,
    ...lines.map((line) => formatLine(line, fromMs)),
    ...(contextLines.length === 0 ? [] : ['  other events of the same process:']),
    ...contextLines.map((line) => formatLine(line, fromMs)),
  ];
};

/** Formats an explanation as text: the outcome and the cause first, then the lines of each process. */
export const formatExplanation = (
  id: string,
  { outcome, cause }: Explanation,
  { byProcess, around }: Evidence,
): string =>
  [
    `${id}: ${outcome}`,
    `cause: ${cause}`,
    ...byProcess.flatMap((lines) => formatProcess(lines, around)),
  ].join('\n');
