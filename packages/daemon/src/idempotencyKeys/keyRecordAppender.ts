import type { KeyRecord } from '@parsleyhall/entry';

/** Appends records to one partition of idempotency keys. */
export interface KeyRecordAppender extends AsyncDisposable {
  readonly append: (record: KeyRecord) => void;
  /** Records how far the partition has been read, which limits what is read again after an append of unknown outcome. */
  readonly advanceReadOffset: (nextOffset: number) => void;
  /** Resolves when no records are waiting to be appended. */
  readonly flush: () => Promise<void>;
}
