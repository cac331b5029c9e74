import { sortWaiting } from '../queue/sortWaiting.js';
import { isTimeOver } from '../requests/isTimeOver.js';
import { startSend } from '../requests/startSend.js';
import type { RoutingState } from '../routingState.js';
import { chooseTarget } from '../targets/chooseTarget.js';
import { getCandidates } from '../targets/getCandidates.js';
import { getPace } from '../targets/getPace.js';
import { andThen } from './andThen.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

/** Starts what waits for a service while its targets have room; what nobody waits for is left to the next tick. */
export const dispatchWaiting = (
  state: RoutingState,
  service: string,
  { settings, nowMs }: Scope,
): Outcome => {
  const queue = state.waiting.get(service);
  if (queue === undefined || queue.isEmpty()) {
    return keep(state);
  }
  const pace = getPace(state, service);
  let outcome = keep(state);
  let candidates = getCandidates(state, service, nowMs);
  for (const { request } of sortWaiting(queue.values(), pace, nowMs)) {
    if (isTimeOver(request, nowMs)) {
      continue;
    }
    const chosen = chooseTarget({
      request,
      candidates,
      pace,
      dataCentre: settings.dataCentre,
      nowMs,
    });
    if (chosen !== undefined) {
      outcome = andThen(outcome, (current) => startSend(current, request, chosen, nowMs));
      candidates = getCandidates(outcome.state, service, nowMs);
    } else if (candidates.every((one) => one.totalInFlight >= one.target.listed.slots)) {
      return outcome;
    }
  }
  return outcome;
};
