import { clamp } from '@parsleyhall/common';
import { predictWaitMs } from '../queue/predictWaitMs.js';
import type { RoutingState } from '../routingState.js';
import { getCandidates } from '../targets/getCandidates.js';
import { getPace } from '../targets/getPace.js';
import { countEntries } from '../peers/countEntries.js';

const SHORTEST_MS = 250;
const LONGEST_MS = 4_000;

/** When a refused request has a chance again: once what waits now has been started, in milliseconds. */
export const getRetryAfterMs = (state: RoutingState, service: string, nowMs: number): number => {
  const pace = getPace(state, service);
  const waitMs = predictWaitMs({
    ahead: state.waiting.get(service)?.size ?? 0,
    candidates: getCandidates(state, service, nowMs),
    runMs: pace.runMs,
    entries: countEntries(state, nowMs),
  });
  return Math.round(clamp(waitMs, SHORTEST_MS, LONGEST_MS));
};
