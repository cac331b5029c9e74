import type { RoutingState } from '../routingState.js';
import type { Scope } from '../steps/scope.js';
import { knowsQuotaWindow } from './knowsQuotaWindow.js';
import type { QuotaAccount } from './quotaAccount.js';
import type { RecentQuotas } from './recentQuotas.js';

// Each part counts from its end, so that what it holds is never forgotten too early.
const toSpans = (
  parts: readonly number[],
  nowMs: number,
  windowMs: number,
): QuotaAccount['spans'] =>
  parts.map((taken, index) => ({
    startMs: nowMs - (windowMs * (parts.length - index - 1)) / parts.length - 1,
    taken,
  }));

/** An entry that started lately learns what was taken in the window before. */
export const learnQuotas = (
  state: RoutingState,
  recent: RecentQuotas,
  { settings, nowMs }: Scope,
): RoutingState => {
  if (knowsQuotaWindow(state, settings, nowMs)) {
    return state;
  }
  const { windowMs } = settings.quotas;
  let { quotas } = state;
  for (const [team, parts] of Object.entries(recent)) {
    const known = quotas.get(team);
    quotas = quotas.set(team, {
      spans: [...toSpans(parts, nowMs, windowMs), ...(known?.spans ?? [])],
      takenHere: known?.takenHere ?? 0,
    });
  }
  return { ...state, quotas, quotasKnownSinceMs: nowMs - windowMs };
};
