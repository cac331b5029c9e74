import type { RoutingState } from '../routingState.js';
import type { Scope } from '../steps/scope.js';
import { knowsQuotaWindow } from './knowsQuotaWindow.js';
import type { QuotaAccount } from './quotaAccount.js';

const SPANS = 8;

/** As if it had been taken evenly over the window that ends now. */
const spread = (taken: number, nowMs: number, windowMs: number): QuotaAccount['spans'] =>
  Array.from({ length: SPANS }, (_, index) => ({
    startMs: nowMs - (windowMs * (SPANS - index - 1)) / SPANS - 1,
    taken: taken / SPANS,
  }));

/** An entry that started lately learns what was taken in the window before, by team. */
export const learnQuotas = (
  state: RoutingState,
  taken: Readonly<Record<string, number>>,
  { settings, nowMs }: Scope,
): RoutingState => {
  if (knowsQuotaWindow(state, settings, nowMs)) {
    return state;
  }
  const { windowMs } = settings.quotas;
  let { quotas } = state;
  for (const [team, amount] of Object.entries(taken)) {
    const known = quotas.get(team);
    quotas = quotas.set(team, {
      spans: [...spread(amount, nowMs, windowMs), ...(known?.spans ?? [])],
      takenHere: known?.takenHere ?? 0,
    });
  }
  return { ...state, quotas, quotasKnownSinceMs: nowMs - windowMs };
};
