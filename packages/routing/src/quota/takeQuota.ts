import type { RoutedTeam } from '../configuration/routedTeam.js';
import { getQuotaShare } from '../peers/getQuotaShare.js';
import type { RoutingState } from '../routingState.js';
import { getQuotaCost } from './getQuotaCost.js';
import { getQuotaWaitMs } from './getQuotaWaitMs.js';
import { refillQuota } from './refillQuota.js';

/** Takes a request off its team's quota, or says how long to wait, in milliseconds. */
export const takeQuota = ({
  state,
  team,
  tokens,
  nowMs,
}: {
  readonly state: RoutingState;
  readonly team: RoutedTeam | undefined;
  readonly tokens: number | undefined;
  readonly nowMs: number;
}): { readonly state: RoutingState; readonly cost: number; readonly waitMs: number } => {
  const quota = team?.quota;
  if (team === undefined || quota === undefined || quota.perSecond <= 0) {
    return { state, cost: 0, waitMs: 0 };
  }
  const share = getQuotaShare([...state.peers.values()], nowMs);
  const account = refillQuota({ account: state.quotas.get(team.name), quota, share, nowMs });
  const cost = getQuotaCost(quota, tokens);
  const waitMs = getQuotaWaitMs(account, quota, cost);
  const next =
    waitMs > 0
      ? account
      : { ...account, level: account.level - cost, takenHere: account.takenHere + cost };
  return { state: { ...state, quotas: state.quotas.set(team.name, next) }, cost, waitMs };
};
