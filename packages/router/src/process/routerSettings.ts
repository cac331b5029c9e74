import type { QuotaPolicy, RetryPolicy } from '@parsleyhall/routing';

/** What a router process is set to. */
export interface RouterSettings {
  readonly host: string;
  readonly dataCentre: string;
  readonly ip: string;
  /** Where callers connect: IP address and port. */
  readonly callersAddress: string;
  /** Where the platform asks whether the process takes callers: IP address and port. */
  readonly readinessAddress: string;
  readonly readinessPath: string;
  /** Where metrics are read: IP address and port. */
  readonly metricsAddress: string;
  /** For digests between entries; the same on every host. */
  readonly peerPort: number;
  /** Entries that may be there at the start, by IP address. */
  readonly peerAddresses: readonly string[];
  readonly retries: RetryPolicy;
  readonly quotas: QuotaPolicy;
  /** Requests with a key are refused where the configuration was last confirmed longer ago, in milliseconds. */
  readonly longestUnconfirmedMs: number;
  /** From a planned stop's signal until the process must be gone, in milliseconds. */
  readonly stopWithinMs: number;
}
