import { Map } from 'immutable';
import type { Rollouts } from './rollouts.js';

/** The knowledge of an entry that has read nothing yet. */
export const newRollouts = (nowMs: number): Rollouts => ({
  byService: Map(),
  wasInTouch: false,
  steadySinceMs: nowMs,
  tickedAtMs: nowMs,
});
