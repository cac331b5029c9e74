import type { Line } from './line.js';

/** A field as text; a dash where the line lacks it. */
export const getText = (line: Line, field: string): string => {
  const value = line[field];
  return typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean'
    ? String(value)
    : '-';
};
