import type { Fault } from '../schedule/fault.js';
import type { Schedule } from '../schedule/schedule.js';
import { WORLD_SETTINGS } from './worldSettings.js';

const CALM_AGAIN_MS = 1_200;
const SPARE_MS = 400;

const getFaultEndMs = ({ kind, atMs, forMs }: Fault): number => {
  if (kind === 'pauseEntry' || kind === 'pauseSide') {
    return atMs + forMs + WORLD_SETTINGS.longestDeadlineMs;
  }
  if (kind === 'burst') {
    return atMs + WORLD_SETTINGS.longestDeadlineMs;
  }
  if (kind === 'drain' || kind === 'listLeaving') {
    return atMs + 2 * forMs + CALM_AGAIN_MS;
  }
  return atMs + forMs + CALM_AGAIN_MS;
};

/** Time after which all of a schedule must have been settled, in milliseconds. */
export const getEndMs = ({ arrivals, faults }: Schedule): number =>
  Math.max(
    0,
    ...faults.map(getFaultEndMs),
    ...arrivals.map(({ atMs, deadlineMs }) => atMs + deadlineMs),
  ) +
  WORLD_SETTINGS.settleAllowanceMs +
  SPARE_MS;
