import type { Line } from './line.js';

/** A field as a number; 0 where the line lacks it. */
export const getNumber = (line: Line, field: string): number => {
  const value = line[field];
  return typeof value === 'number' ? value : 0;
};
