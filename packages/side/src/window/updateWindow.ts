import { assertNever } from '@parsleyhall/common';
import type { WindowObservation } from './windowObservation.js';
import type { WindowState } from './windowState.js';
import { updateByReport } from './updateByReport.js';
import { updateByResponse } from './updateByResponse.js';
import { updateByTokens } from './updateByTokens.js';

const STALL_SHARE = 0.5;

const stall = (
  window: WindowState,
  { occupancy }: WindowObservation,
  stalledSinceMs: number,
): WindowState =>
  window.stalledSinceMs === undefined
    ? {
        ...window,
        stalledSinceMs,
        isStarting: false,
        requests: Math.max(1, Math.min(window.requests, occupancy.requests * STALL_SHARE)),
      }
    : window;

/** The window after an observation: it grows while tokens come in time and shrinks as soon as they do not. */
export const updateWindow = (window: WindowState, observation: WindowObservation): WindowState => {
  switch (observation.type) {
    case 'token':
      return updateByTokens(window, observation);
    case 'response':
      return updateByResponse(window, observation, observation.responseMs);
    case 'overdue':
      return stall(window, observation, observation.sinceMs);
    case 'moving':
      return window.stalledSinceMs === undefined
        ? window
        : { ...window, stalledSinceMs: undefined };
    case 'report':
      return updateByReport(window, observation, observation);
    default:
      return assertNever(observation);
  }
};
