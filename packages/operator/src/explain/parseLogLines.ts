import type { ParsedLogLine } from './parsedLogLine.js';
import { logLineSchema } from './logLineSchema.js';

interface ParsedLines {
  readonly lines: readonly ParsedLogLine[];
  /** Number of lines with a brace that are not valid log lines. */
  readonly unreadable: number;
}

const parseLine = (text: string): ParsedLogLine | undefined => {
  try {
    return logLineSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};

/** Parses the log lines of a text; any prefix that a log collector wrote before the brace is ignored. */
export const parseLogLines = (text: string): ParsedLines => {
  const found = text.split('\n').flatMap((row) => {
    const start = row.indexOf('{');
    return start < 0 ? [] : [parseLine(row.slice(start))];
  });
  const lines = found.filter((line) => line !== undefined);
  return { lines, unreadable: found.length - lines.length };
};
