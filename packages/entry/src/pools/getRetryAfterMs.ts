import { clamp } from '@parsleyhall/common';
import type { EntryState } from '../entryState.js';
import type { ArrivedRequest } from '../arrivedRequest.js';
import { getUsableSides } from './getUsableSides.js';

const SHORTEST_MS = 1_000;
const LONGEST_MS = 120_000;

/** When the pool's shortest backlog should have been worked off for the request's tier, in milliseconds. */
export const getRetryAfterMs = (state: EntryState, request: ArrivedRequest): number => {
  const waits = getUsableSides(state, request).map(
    ({ digest }) => digest?.predictedWaitMsByTier[request.tier - 1] ?? 0,
  );
  return clamp(waits.length === 0 ? SHORTEST_MS : Math.min(...waits), SHORTEST_MS, LONGEST_MS);
};
