import type { ParsedLogLine } from './parsedLogLine.js';

/** Reads a field as text; a dash when it is missing or not a plain value. */
export const getTextField = (line: ParsedLogLine, field: string): string => {
  const value = line[field];
  return typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean'
    ? String(value)
    : '-';
};
