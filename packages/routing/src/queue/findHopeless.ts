import { countEntries } from '../peers/countEntries.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getCandidates } from '../targets/getCandidates.js';
import { getPace } from '../targets/getPace.js';
import { getPrefillMs } from '../targets/getPrefillMs.js';
import { isLate } from './isLate.js';
import { predictWaitMs } from './predictWaitMs.js';
import { sortWaiting } from './sortWaiting.js';

/** Work that arrives later and goes first makes waits longer than the queue shows. */
const WAIT_FACTOR = 2;

/** Waiting requests of a service that are late already and will not be started before their callers leave. */
export const findHopeless = (
  state: RoutingState,
  service: string,
  nowMs: number,
): readonly TrackedRequest[] => {
  const queue = state.waiting.get(service);
  if (queue === undefined || queue.isEmpty()) {
    return [];
  }
  const pace = getPace(state, service);
  const candidates = getCandidates(state, service, nowMs);
  const entries = countEntries(state, nowMs);
  return sortWaiting(queue.values(), pace, nowMs).filter((request, ahead) => {
    if (request.hasBegun || !isLate(request, pace, nowMs)) {
      return false;
    }
    const waitMs = predictWaitMs({ ahead, candidates, runMs: pace.runMs, entries });
    const beginsMs = nowMs + WAIT_FACTOR * waitMs + getPrefillMs(request, pace);
    return beginsMs > request.patienceAtMs;
  });
};
