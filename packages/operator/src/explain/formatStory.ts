import type { Evidence } from './evidence.js';
import type { Explanation } from './explanation.js';
import { getTimeMs } from './getTimeMs.js';
import type { Line } from './line.js';

const TIME_WIDTH = 8;
/** Fields that every line has, or that the heading tells. */
const LEFT_OUT = new Set([
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

const formatFields = (line: Line): string =>
  Object.entries(line)
    .filter(([field]) => !LEFT_OUT.has(field))
    .map(
      ([field, value]) => `${field}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
    )
    .join(' ');

const formatLine = (line: Line, fromMs: number): string =>
  `${String(getTimeMs(line) - fromMs).padStart(TIME_WIDTH)} ms  ${line.event}  ${formatFields(line)}`;

const formatProcess = (lines: readonly Line[], around: readonly Line[]): readonly string[] => {
  const [first] = lines;
  if (first === undefined) {
    return [];
  }
  const { host, process, time } = first;
  const fromMs = getTimeMs(first);
  const beside = around.filter((line) => line.host === host && line.process === process);
  return [
    '',
    `${host}, ${process}, since ${time} by its own clock`,
    ...lines.map((line) => formatLine(line, fromMs)),
    ...(beside.length === 0 ? [] : ['  besides, in the same process:']),
    ...beside.map((line) => formatLine(line, fromMs)),
  ];
};

/** A request's story as text: the outcome and the cause first, then the lines of each process. */
export const formatStory = (
  id: string,
  { outcome, cause }: Explanation,
  { byProcess, around }: Evidence,
): string =>
  [
    `${id}: ${outcome}`,
    `cause: ${cause}`,
    ...byProcess.flatMap((lines) => formatProcess(lines, around)),
  ].join('\n');
