import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { isPeerAlive } from './isPeerAlive.js';

/** Whether this entry persists for all that hear one another: its host name sorts first among them. */
export const isResponsibleForPersisting = (
  { peers }: RoutingState,
  { settings, nowMs }: StepContext,
): boolean =>
  [...peers.values()].every(
    (peer) =>
      !isPeerAlive(peer, nowMs) || peer.digest.isLeaving || settings.host < peer.digest.host,
  );
