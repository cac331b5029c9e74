import type { Tier } from '@parsleyhall/common';

/** One caller's request as data. */
export interface Arrival {
  readonly atMs: number;
  /** Index of the entry that the balancer tries first. */
  readonly entry: number;
  readonly kind: 'engine' | 'service';
  readonly tier: Tier;
  readonly team: number;
  /** Chunks of the answer; the target makes one after another. */
  readonly chunks: number;
  readonly deadlineMs: number;
  /** Index of an operation that is sent more than once under one key; absent for work that may be repeated. */
  readonly keyed?: number | undefined;
  /** Time after which the caller hangs up, in milliseconds; absent when it stays. */
  readonly hangsUpAfterMs?: number | undefined;
}
