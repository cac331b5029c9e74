import type { QuotaPolicy } from './quota/quotaPolicy.js';
import type { RetryPolicy } from './retries/retryPolicy.js';

/** What an entry's scheduler is set to. */
export interface RoutingSettings {
  readonly host: string;
  readonly incarnation: number;
  readonly dataCentre: string;
  readonly retries: RetryPolicy;
  readonly quotas: QuotaPolicy;
  /** Requests with a key are refused where the configuration was last confirmed longer ago, in milliseconds. */
  readonly longestUnconfirmedMs: number;
}
