import type { KeyRecord } from './keyRecord.js';

/** One idempotency key as folded from the log. */
export interface KeyState {
  /** The attempt that owns the key; undefined when it is free. */
  readonly owner:
    | { readonly attempt: string; readonly offset: number; readonly requestFingerprint: string }
    | undefined;
  /** The owner's answer, once it has one. */
  readonly done: Extract<KeyRecord, { type: 'done' }> | undefined;
  /** True when nobody can tell whether the owner ran. */
  readonly isUnknown: boolean;
  /** Attempts that ended without a run; a late repeat of their start claims nothing. */
  readonly endedAttempts: readonly string[];
}
