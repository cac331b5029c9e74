import type { Line } from './line.js';
import { logLine } from './logLine.js';

interface ParsedLines {
  readonly lines: readonly Line[];
  /** Lines with a brace that hold no log line. */
  readonly unreadable: number;
}

const parseLine = (text: string): Line | undefined => {
  try {
    return logLine.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};

/** Reads the log lines of a text; whatever a collector wrote before the brace is passed over. */
export const parseLines = (text: string): ParsedLines => {
  const found = text.split('\n').flatMap((row) => {
    const start = row.indexOf('{');
    return start < 0 ? [] : [parseLine(row.slice(start))];
  });
  const lines = found.filter((line) => line !== undefined);
  return { lines, unreadable: found.length - lines.length };
};
