import type { Map } from 'immutable';
import type { GrantId, OrderedIndex } from '@parsleyhall/common';
import type { Run } from './run.js';

/** Running and kept runs. */
export interface RunsState {
  readonly byId: Map<GrantId, Run>;
  /** Runs that the target still works on. */
  readonly activeRequests: number;
  /** Ended runs by the time at which they are forgotten. */
  readonly ended: OrderedIndex<GrantId>;
  /** Streamed runs whose next token is awaited by the time of the last one. */
  readonly decoding: OrderedIndex<GrantId>;
  /** Streamed runs whose first token is awaited by the time at which it is expected. */
  readonly prefilling: OrderedIndex<GrantId>;
  /** The same for answers that are not streamed, of which no token can be seen. */
  readonly unseenPrefills: OrderedIndex<GrantId>;
  /** Bytes of answers kept in all. */
  readonly keptBytes: number;
}
