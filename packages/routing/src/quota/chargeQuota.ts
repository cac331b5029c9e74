import type { QuotaAccount } from './quotaAccount.js';

const SPAN_MS = 250;

/** Adds to what was taken now and forgets what is older than the window; a negative amount gives back. */
export const chargeQuota = ({
  account,
  amount,
  nowMs,
  windowMs,
}: {
  readonly account: QuotaAccount;
  readonly amount: number;
  readonly nowMs: number;
  readonly windowMs: number;
}): QuotaAccount => {
  const startMs = Math.floor(nowMs / SPAN_MS) * SPAN_MS;
  const kept = account.spans.filter((span) => span.startMs > nowMs - windowMs - SPAN_MS);
  const last = kept.at(-1);
  const spans =
    last?.startMs === startMs
      ? [...kept.slice(0, -1), { startMs, taken: last.taken + amount }]
      : [...kept, { startMs, taken: amount }];
  return { ...account, spans };
};
