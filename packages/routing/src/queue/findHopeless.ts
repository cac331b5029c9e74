import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getNominalMs } from '../targets/getNominalMs.js';
import { getPace } from '../targets/getPace.js';
import { getPrefillMs } from '../targets/getPrefillMs.js';
import type { Wait } from './wait.js';
import { createWaitPredictor } from './createWaitPredictor.js';
import { sortWaiting } from './sortWaiting.js';

/** Waiting requests of a service that are late already and will not be started before their callers leave. */
export const findHopeless = (
  state: RoutingState,
  service: string,
  nowMs: number,
): readonly { readonly request: TrackedRequest; readonly wait: Wait }[] => {
  const queue = state.waiting.get(service);
  if (queue === undefined || queue.isEmpty()) {
    return [];
  }
  const pace = getPace(state, service);
  const predict = createWaitPredictor(state, service, nowMs);
  let workMs = 0;
  return sortWaiting(queue.values(), pace, nowMs).flatMap((own, count) => {
    const { request } = own;
    const wait = predict(own, { count, workMs });
    workMs += getNominalMs(request, pace);
    const beginsMs = nowMs + wait.waitMs + getPrefillMs(request, pace);
    const isHopeless = !request.hasBegun && own.isLate && beginsMs > request.patienceAtMs;
    return isHopeless ? [{ request, wait }] : [];
  });
};
