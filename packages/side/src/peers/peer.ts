import type { Set } from 'immutable';
import type { GrantId, Incarnation, RequestId } from '@parsleyhall/common';

/** An entry with a stream to this process. */
export interface Peer {
  /** Counts the streams over all entries, so that each has its own number. */
  readonly connection: number;
  readonly incarnation: Incarnation | undefined;
  readonly formerIncarnation: Incarnation | undefined;
  readonly lastHeardMs: number;
  readonly reservations: Set<RequestId>;
  readonly grants: Set<GrantId>;
}
