import { getLiveHosts } from '../peers/getLiveHosts.js';
import type { RoutingState } from '../routingState.js';
import type { Target } from '../targets/target.js';

/**
 * Creates a function that tells whether this entry is the one among all live entries that may fill a target without the
 * usual reserve; they agree on it without asking one another. The live entries are determined on the first call.
 */
export const createOwnerCheck = (
  state: RoutingState,
  nowMs: number,
): ((target: Pick<Target, 'spreadHash'>) => boolean) => {
  let hosts: readonly string[] | undefined;
  return ({ spreadHash }) => {
    hosts ??= getLiveHosts(state, { settings: state.settings, nowMs });
    return hosts[spreadHash % Math.max(1, hosts.length)] === state.settings.host;
  };
};
