import type { ParsedLogLine } from './parsedLogLine.js';

/** Time of a line by its host's clock, in Unix milliseconds; 0 when it has none. */
export const getTimeMs = ({ time }: ParsedLogLine): number => {
  const timeMs = Date.parse(time);
  return Number.isNaN(timeMs) ? 0 : timeMs;
};
