import type { KeyRecord } from '@parsleyhall/entry';

/** The partitions of idempotency keys in the log: all followed, any appended to. */
export interface KeyLog extends AsyncDisposable {
  readonly append: (partition: number, record: KeyRecord) => void;
  /** Resolves when nothing waits to be appended. */
  readonly flush: () => Promise<void>;
}
