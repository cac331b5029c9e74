import type { DrainState } from './drainState.js';

/** The queue empties as fast as this target works until more is known. */
export const INITIAL_DRAIN: DrainState = {
  rate: 1,
  periodStartMs: 0,
  departedMs: 0,
  wasEmpty: true,
};
