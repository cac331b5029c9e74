import type { Line } from './line.js';

/** A line's time by its host's clock, in Unix milliseconds; 0 where it has none. */
export const getTimeMs = ({ time }: Line): number => {
  const timeMs = Date.parse(time);
  return Number.isNaN(timeMs) ? 0 : timeMs;
};
