import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { isPeerAlive } from './isPeerAlive.js';

/** The hosts of all entries that are alive and not about to stop, this one included unless it is; sorted. */
export const getLiveHosts = (
  { peers, isLeaving }: RoutingState,
  { settings, nowMs }: Pick<StepContext, 'settings' | 'nowMs'>,
): readonly string[] =>
  [
    ...(isLeaving ? [] : [settings.host]),
    ...[...peers.values()]
      .filter((peer) => isPeerAlive(peer, nowMs) && !peer.digest.isLeaving)
      .map(({ digest }) => digest.host),
  ].sort();
