import { isPeerAlive } from '../peers/isPeerAlive.js';
import type { RoutingState } from '../routingState.js';
import { getCountedPeers } from './getCountedPeers.js';

/**
 * Whether this entry hears so many of the entries it knows that no group without it can be as large: more than half, or
 * half of them including the first one by name.
 */
export const hasQuorum = (state: RoutingState, nowMs: number): boolean => {
  const { settings } = state;
  const others = getCountedPeers(state);
  const heard = others.filter((peer) => isPeerAlive(peer, nowMs));
  const heardCount = heard.length + 1;
  const knownCount = others.length + 1;
  const hosts = [settings.host, ...others.map(({ digest }) => digest.host)].sort();
  const heardHosts = [settings.host, ...heard.map(({ digest }) => digest.host)];
  const first = hosts[0] ?? settings.host;
  return (
    2 * heardCount > knownCount || (2 * heardCount === knownCount && heardHosts.includes(first))
  );
};
