import type { Map } from 'immutable';
import type { GrantId, OrderedIndex, RequestId } from '@parsleyhall/common';
import type { Grant } from './grant.js';

/** The grants issued; used and burnt ones are remembered for a time. */
export interface GrantsState {
  /** Counter of the last grant issued by this incarnation. */
  readonly lastCounter: number;
  readonly byId: Map<GrantId, Grant>;
  /** Outstanding grants by request. */
  readonly byRequest: Map<RequestId, GrantId>;
  /** Outstanding grants by the time of their expiry. */
  readonly byExpiry: OrderedIndex<GrantId>;
  /** Used and burnt grants by the time at which they are forgotten. */
  readonly settled: OrderedIndex<GrantId>;
}
