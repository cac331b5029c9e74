import type { CrossingPolicy } from './dataCentres/crossingPolicy.js';
import type { QuotaPolicy } from './quota/quotaPolicy.js';
import type { RetryPolicy } from './retries/retryPolicy.js';
import type { RolloutPolicy } from './rollouts/rolloutPolicy.js';

/** The settings of an entry's scheduler. */
export interface RoutingSettings {
  readonly host: string;
  /** Identifies this start of the entry; higher with each start. */
  readonly incarnation: number;
  readonly dataCentre: string;
  /** Requests leave the data centre only where it is worth this; undefined if the cheapest target is chosen. */
  readonly crossDataCentre?: CrossingPolicy;
  readonly retries: RetryPolicy;
  readonly quotas: QuotaPolicy;
  /**
   * Targets crash when the requests that they hold exceed the memory that the configuration states for their service.
   * Without it their memory is not considered.
   */
  readonly isTargetMemoryLimited?: boolean;
  /** Undefined on a deployment without roll-outs of versions. */
  readonly rollouts?: RolloutPolicy;
  /** Prompt parts that are never quarantined, whatever speaks against them. */
  readonly trustedPromptParts: readonly string[];
  /**
   * Requests that need a key are refused if the configuration was last confirmed longer ago than this, in
   * milliseconds.
   */
  readonly longestUnconfirmedMs: number;
}
