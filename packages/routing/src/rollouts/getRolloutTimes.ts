import { clamp } from '@parsleyhall/common';
import { MIN_EXPOSING_MS } from './minExposingMs.js';
import type { RolloutTimes } from './rolloutTimes.js';

/** The part of the time that is kept for requests at old targets to end. */
const LEAVING_SHARE = 0.4;
const MIN_LEAVING_MS = 4_000;
const MAX_LEAVING_MS = 15_000;
const DECIDING_SHARE = 0.3;
const SHIFTING_SHARE = 0.15;
/** Kept for the last record to be written, by another entry if need be. */
const COMPLETING_SHARE = 0.1;
const MIN_COMPLETING_MS = 1_500;
const MOVE_SHARE = 0.8;
/** Old targets may stay busy for this much longer than the order allows before the roll-out is rolled back. */
const OVERTIME_MS = 15_000;

/** When the steps of a roll-out of this duration are due. */
export const getRolloutTimes = (durationMs: number): RolloutTimes => {
  const leavingMs = clamp(LEAVING_SHARE * durationMs, MIN_LEAVING_MS, MAX_LEAVING_MS);
  const decideFromMs = Math.max(MIN_EXPOSING_MS, durationMs - leavingMs);
  return {
    decideFromMs,
    decideUntilMs: decideFromMs + DECIDING_SHARE * leavingMs,
    shiftingMs: SHIFTING_SHARE * leavingMs,
    completeFromMs: durationMs - Math.max(MIN_COMPLETING_MS, COMPLETING_SHARE * durationMs),
    moveFromMs: MOVE_SHARE * durationMs,
    giveUpAtMs: durationMs + OVERTIME_MS,
  };
};
