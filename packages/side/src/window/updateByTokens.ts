import { clamp } from '@parsleyhall/common';
import type { WindowObservation } from './windowObservation.js';
import type { WindowState } from './windowState.js';
import { predictBetweenTokensMs } from '../estimates/predictBetweenTokensMs.js';

const BOUND_SHARE = 0.85;
const UNBOUNDED_SLOWDOWN = 3;
const GROWTH_PERIOD_TOKENS = 16;
const SHRINK_PERIOD_TOKENS = 8;
const STARTING_GROWTH = 1.25;
const GROWTH_REQUESTS = 1;
const TOKEN_GROWTH = 1.05;
const SHRINK = 0.9;

const getBoundMs = ({ betweenTokensBoundMs, estimates }: WindowObservation): number =>
  betweenTokensBoundMs === undefined
    ? predictBetweenTokensMs(estimates, 1) * UNBOUNDED_SLOWDOWN
    : betweenTokensBoundMs * BOUND_SHARE;

const areTokensFull = (window: WindowState, { occupancy }: WindowObservation): boolean =>
  occupancy.tokens >= window.tokens;

const grow = (window: WindowState, observation: WindowObservation): WindowState => {
  const { nowMs, maximumRequests } = observation;
  if (areTokensFull(window, observation)) {
    return { ...window, tokens: window.tokens * TOKEN_GROWTH, changedAtMs: nowMs };
  }
  const requests = window.isStarting
    ? window.requests * STARTING_GROWTH
    : window.requests + GROWTH_REQUESTS;
  return { ...window, requests: clamp(requests, 1, maximumRequests), changedAtMs: nowMs };
};

const shrink = (window: WindowState, { occupancy, nowMs }: WindowObservation): WindowState => ({
  ...window,
  requests: Math.max(1, Math.min(window.requests, occupancy.requests) * SHRINK),
  isStarting: false,
  changedAtMs: nowMs,
});

/** The window of an engine by the time between tokens of late: additive growth, multiplicative decrease. */
export const updateByTokens = (
  window: WindowState,
  observation: WindowObservation,
): WindowState => {
  const { estimates, occupancy, nowMs } = observation;
  const recentMs = estimates.recentBetweenTokensMs;
  const sinceChangeMs = nowMs - window.changedAtMs;
  if (recentMs > getBoundMs(observation)) {
    return sinceChangeMs < SHRINK_PERIOD_TOKENS * recentMs ? window : shrink(window, observation);
  }
  const isFull =
    occupancy.requests >= Math.floor(window.requests) || areTokensFull(window, observation);
  const isDue = sinceChangeMs >= GROWTH_PERIOD_TOKENS * recentMs;
  return isFull && isDue ? grow(window, observation) : window;
};
