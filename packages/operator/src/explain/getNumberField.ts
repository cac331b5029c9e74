import type { ParsedLogLine } from './parsedLogLine.js';

/** Reads a field as a number; 0 when it is missing or not a number. */
export const getNumberField = (line: ParsedLogLine, field: string): number => {
  const value = line[field];
  return typeof value === 'number' ? value : 0;
};
