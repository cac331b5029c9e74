import type { Map as ImmutableMap } from 'immutable';
import type { OrderedIndex, RequestId } from '@parsleyhall/common';
import type { KeyState } from './keyState.js';

/** One partition of the idempotency keys, as far as it has been read. */
export interface KeyPartition {
  readonly nextOffset: number;
  readonly keys: ImmutableMap<string, KeyState>;
  /** Keys by the wall-clock time at which they can be forgotten. */
  readonly expiries: OrderedIndex<string>;
  /** Requests of this entry that wait for a record of their key. */
  readonly waiters: ImmutableMap<string, readonly RequestId[]>;
  /** Keys made before this wall-clock time may have records that were never read; they are refused. */
  readonly trustedFromMs: number;
}
