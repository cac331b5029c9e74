import type { CallOutcome } from '../load/callOutcome.js';

/** True when the answer arrived whole and within the deadline. */
export const isInTime = ({ result, endMs, call }: CallOutcome): boolean =>
  result === 'answered' && endMs <= call.deadlineMs;
