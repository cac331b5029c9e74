import { clamp } from '@parsleyhall/common';
import type { WindowObservation } from './windowObservation.js';
import type { WindowState } from './windowState.js';
import { follow } from '../estimates/follow.js';

const TOLERANCE = 2;
const SMOOTHING = 0.2;
const IDLE_RESPONSE_DRIFT = 0.01;
const MINIMUM_GRADIENT = 0.5;

const followIdle = (idleMs: number, responseMs: number): number =>
  idleMs === 0 || responseMs < idleMs
    ? responseMs
    : follow(idleMs, responseMs, IDLE_RESPONSE_DRIFT);

/** The window of a service by its response time against the shortest one that holds (a gradient limit). */
export const updateByResponse = (
  window: WindowState,
  { occupancy, maximumRequests, estimates }: WindowObservation,
  responseMs: number,
): WindowState => {
  const idleResponseMs = Math.max(1, followIdle(window.idleResponseMs, responseMs));
  if (occupancy.requests < window.requests / 2) {
    return { ...window, idleResponseMs };
  }
  const recentMs = Math.max(1, estimates.responseMs);
  const gradient = clamp((TOLERANCE * idleResponseMs) / recentMs, MINIMUM_GRADIENT, 1);
  const target = window.requests * gradient + Math.sqrt(window.requests);
  const requests = follow(window.requests, target, SMOOTHING);
  return { ...window, idleResponseMs, requests: clamp(requests, 1, maximumRequests) };
};
