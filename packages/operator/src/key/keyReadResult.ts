import type { KeyState } from '@parsleyhall/entry';

/** State of an idempotency key as folded from the log. */
export interface KeyReadResult {
  readonly key: string;
  readonly partition: number;
  readonly state: KeyState;
}
