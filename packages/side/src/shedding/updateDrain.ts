import type { DrainState } from './drainState.js';
import { follow } from '../estimates/follow.js';

const PERIOD_MS = 250;
const GAIN = 0.25;
const MINIMUM_RATE = 0.05;

/** The drain at a tick; a period counts when something waited all the time. */
export const updateDrain = (drain: DrainState, nowMs: number, isEmpty: boolean): DrainState => {
  const wasEmpty = drain.wasEmpty || isEmpty;
  const elapsedMs = nowMs - drain.periodStartMs;
  if (elapsedMs < PERIOD_MS) {
    return wasEmpty === drain.wasEmpty ? drain : { ...drain, wasEmpty };
  }
  const rate = wasEmpty ? drain.rate : follow(drain.rate, drain.departedMs / elapsedMs, GAIN);
  return {
    rate: Math.max(MINIMUM_RATE, rate),
    periodStartMs: nowMs,
    departedMs: 0,
    wasEmpty: isEmpty,
  };
};
