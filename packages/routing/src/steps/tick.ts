import { noteLostPeers } from '../peers/noteLostPeers.js';
import { newDigest } from '../peers/newDigest.js';
import { rememberQuotas } from '../quota/rememberQuotas.js';
import type { RoutingState } from '../routingState.js';
import { andThen } from './andThen.js';
import { checkClocks } from './checkClocks.js';
import { checkRequest } from './checkRequest.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { forEach } from './forEach.js';
import { keep } from './keep.js';
import { refuseHopeless } from './refuseHopeless.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

/** Looks after every request and tells the other entries how things stand. */
export const tick = (state: RoutingState, scope: Scope): Outcome => {
  const timed = checkClocks(state, scope);
  const listened = andThen(timed, (current) => noteLostPeers(current, scope.nowMs));
  const checked = andThen(listened, (current) =>
    forEach(current, current.requests.keys(), (next, requestId) => {
      const request = next.requests.get(requestId);
      return request === undefined ? keep(next) : checkRequest(next, request, scope);
    }),
  );
  const relieved = andThen(checked, (current) => refuseHopeless(current, scope));
  const dispatched = andThen(relieved, (current) =>
    forEach(current, current.waiting.keys(), (next, service) =>
      dispatchWaiting(next, service, scope),
    ),
  );
  const remembered = andThen(dispatched, (current) => rememberQuotas(current, scope));
  return andThen(remembered, (current) => {
    const counted = { ...current, digestSequence: current.digestSequence + 1 };
    return keep(counted, { type: 'sendDigest', digest: newDigest(counted, scope) });
  });
};
