import type { KeyRecord } from '@parsleyhall/entry';

/** The partitions of idempotency keys in the log: all are followed, and records can be appended to each. */
export interface IdempotencyKeyLog extends AsyncDisposable {
  readonly append: (partition: number, record: KeyRecord) => void;
  /** Resolves when no records are waiting to be appended. */
  readonly flush: () => Promise<void>;
}
