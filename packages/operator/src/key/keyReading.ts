import type { KeyState } from '@parsleyhall/entry';

/** What the log tells of an idempotency key. */
export interface KeyReading {
  readonly key: string;
  readonly partition: number;
  readonly state: KeyState;
}
