import type { CallerOutcome } from '../callers/callerOutcome.js';
import type { Metrics } from '@parsleyhall/metrics';

/** Counts how a request ended and records its durations. */
export const recordOutcome = (metrics: Metrics, outcome: CallerOutcome): void => {
  const tier = String(outcome.tier);
  const { result, reason } = outcome;
  metrics.increment('requests_total', { tier, result, reason });
  metrics.increment('prefill_tokens_total', { tier }, outcome.prefillTokens);
  if (result !== 'inTime') {
    metrics.increment(
      'wasted_prefill_tokens_total',
      { tier, cause: result },
      outcome.prefillTokens,
    );
  }
  metrics.recordMs('request_total_milliseconds', { tier }, outcome.totalMs);
  if (outcome.firstTokenMs !== undefined) {
    metrics.recordMs('time_to_first_token_milliseconds', { tier }, outcome.firstTokenMs);
  }
};
