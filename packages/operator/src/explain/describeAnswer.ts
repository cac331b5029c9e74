import { getNumber } from './getNumber.js';
import { getText } from './getText.js';
import type { Line } from './line.js';

const HALF = 0.5;

/** What took the time of an answer. */
export const describeAnswer = (line: Line): string => {
  const waitedMs = getNumber(line, 'waitedMs');
  const firstMs = getNumber(line, 'firstMs');
  const ageMs = getNumber(line, 'ageMs');
  const sends = getNumber(line, 'sends');
  const target = getText(line, 'target');
  const times = `first event after ${firstMs} ms, the end after ${ageMs} ms`;
  if (waitedMs < firstMs * HALF) {
    return `${times}; ${firstMs - waitedMs} ms of the first part at target ${target}`;
  }
  return sends > 1
    ? `${times}; ${waitedMs} ms went by before send ${sends}, since earlier sends had failed`
    : `${times}; it waited ${waitedMs} ms for a slot`;
};
