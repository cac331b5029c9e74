import { Map } from 'immutable';
import type { Rollout } from './rollout.js';

/** A service's roll-out that this entry learns of now. */
export const newRollout = (nowMs: number): Rollout => ({
  orderSeenAtMs: nowMs,
  isOrderFromSnapshot: false,
  startedAtMs: nowMs,
  stageSinceMs: nowMs,
  stageNotBeforeMs: -Infinity,
  isStoreBehind: false,
  writeAskedAtMs: -Infinity,
  judgedAtMs: -Infinity,
  isJudgedBad: false,
  requests: 0,
  exposed: 0,
  kinds: Map(),
});
