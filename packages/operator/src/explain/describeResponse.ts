import { getNumberField } from './getNumberField.js';
import { getTextField } from './getTextField.js';
import type { ParsedLogLine } from './parsedLogLine.js';

const HALF = 0.5;

/** Describes where the time of a response was spent. */
export const describeResponse = (line: ParsedLogLine): string => {
  const waitedMs = getNumberField(line, 'waitedMs');
  const firstMs = getNumberField(line, 'firstMs');
  const ageMs = getNumberField(line, 'ageMs');
  const sends = getNumberField(line, 'sends');
  const target = getTextField(line, 'target');
  const times = `first event after ${firstMs} ms, end after ${ageMs} ms`;
  if (waitedMs < firstMs * HALF) {
    return `${times}; ${firstMs - waitedMs} ms until the first event spent at target ${target}`;
  }
  return sends > 1
    ? `${times}; ${waitedMs} ms went by before send ${sends}, since earlier sends had failed`
    : `${times}; it waited ${waitedMs} ms for a slot`;
};
