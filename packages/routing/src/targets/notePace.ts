import { blend } from './blend.js';
import type { Target } from './target.js';

const PACE_WEIGHT = 0.25;
const SUCCESS_WEIGHT = 0.1;
const SHORTEST_PACE_MS = 0.1;

/** Records an answer that ended well and the pace at which it came, in milliseconds. */
export const notePace = (target: Target, paceMs: number): Target => ({
  ...target,
  paceMs: blend(target.paceMs, Math.max(SHORTEST_PACE_MS, paceMs), PACE_WEIGHT),
  failureShare: blend(target.failureShare, 0, SUCCESS_WEIGHT),
  restsUntilMs: 0,
});
