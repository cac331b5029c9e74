import type { EntryId, HostName, Incarnation } from '@parsleyhall/common';

/** What an entry knows from its settings and its start. */
export interface EntrySettings {
  readonly entry: EntryId;
  readonly incarnation: Incarnation;
  readonly host: HostName;
  readonly dataCentre: string;
  readonly heartbeatMs: number;
  /** Silence after which a side process's stream counts as broken, in milliseconds. */
  readonly peerTimeoutMs: number;
  /** Time allowed for settling what became of a grant after its deadline, in milliseconds. */
  readonly settleAllowanceMs: number;
  /** Side processes that a request is reserved at, at most. */
  readonly reservationsPerRequest: number;
  /** Side processes of one pool that this entry holds streams to, at most; all when absent. */
  readonly sidesPerPool?: number;
  readonly maximumWaiting: number;
  readonly maximumWaitingBytes: number;
  readonly keyPartitions: number;
  /** Time that the log keeps records, in milliseconds. */
  readonly logRetentionMs: number;
  /** Largest difference between two hosts' wall clocks, in milliseconds. */
  readonly clockToleranceMs: number;
  readonly longPrefillTokens: number;
}
