import type { KeyRecord } from '@parsleyhall/entry';

/** Appends to one partition of keys. */
export interface KeyAppender extends AsyncDisposable {
  readonly append: (record: KeyRecord) => void;
  /** Tells how far the partition has been read, which bounds what is read after a lost answer. */
  readonly noteRead: (nextOffset: number) => void;
  /** Resolves when nothing waits to be appended. */
  readonly flush: () => Promise<void>;
}
