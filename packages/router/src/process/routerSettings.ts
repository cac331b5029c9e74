import type { CrossingPolicy, QuotaPolicy, RetryPolicy, RolloutPolicy } from '@parsleyhall/routing';
import type { CallerLimits } from '../memory/callerLimits.js';

/** The settings of a router process. */
export interface RouterSettings {
  readonly host: string;
  readonly dataCentre: string;
  /** What a request to another data centre costs; undefined if the cheapest target is chosen. */
  readonly crossDataCentre?: CrossingPolicy;
  readonly ip: string;
  /** IP address and port for callers. */
  readonly callersAddress: string;
  /** IP address and port for the platform's readiness checks. */
  readonly readinessAddress: string;
  readonly readinessPath: string;
  /** IP address and port at which metrics are served. */
  readonly metricsAddress: string;
  /** UDP port for digests between entries; the same on every host. */
  readonly peerPort: number;
  /** IP addresses at which other entries may be running at the start. */
  readonly peerAddresses: readonly string[];
  readonly retries: RetryPolicy;
  readonly quotas: QuotaPolicy;
  /** Undefined on a deployment without roll-outs of versions. */
  readonly rollouts?: RolloutPolicy;
  /** Prompt parts that are never quarantined, whatever speaks against them. */
  readonly trustedPromptParts: readonly string[];
  /**
   * Targets crash when the requests that they hold exceed the memory that the configuration states for their service.
   * Without it their memory is not considered.
   */
  readonly isTargetMemoryLimited?: boolean;
  /** Requests with a key are refused if the configuration was last confirmed longer ago than this, in milliseconds. */
  readonly longestUnconfirmedMs: number;
  /** Time from a stop's signal until the process must have exited, in milliseconds. */
  readonly stopWithinMs: number;
  /** Limits on what callers make the router hold; those left out have defaults. */
  readonly callerLimits?: Partial<CallerLimits>;
}
