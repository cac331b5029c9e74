import type { Map } from 'immutable';
import type { GrantId, OrderedIndex } from '@parsleyhall/common';
import type { Run } from './run.js';

/** Running and kept runs. */
export interface RunsState {
  readonly byId: Map<GrantId, Run>;
  /** Ended runs by the time of their end. */
  readonly ended: OrderedIndex<GrantId>;
  /** Runs whose next token is awaited by the time of the last one. */
  readonly decoding: OrderedIndex<GrantId>;
  /** Runs whose first token is awaited by the time of their start. */
  readonly prefilling: OrderedIndex<GrantId>;
  /** Bytes of answers kept in all. */
  readonly keptBytes: number;
}
