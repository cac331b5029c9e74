import type { Set as ImmutableSet } from 'immutable';
import type { HostName, Incarnation, PoolName, RequestId, SideId } from '@parsleyhall/common';
import type { SideDigest } from '@parsleyhall/protocol';

/** One side process as this entry knows it. */
export interface SideLink {
  readonly side: SideId;
  readonly host: HostName;
  readonly address: string;
  /** False once the list no longer names it; it is closed when nothing of ours runs there. */
  readonly isListed: boolean;
  readonly isListedLeaving: boolean;
  readonly isConnected: boolean;
  /** What the side process said of itself on this connection; undefined until it has. */
  readonly greeting:
    | {
        readonly incarnation: Incarnation;
        readonly host: HostName;
        readonly dataCentre: string;
        readonly pool: PoolName;
        readonly models: readonly string[];
      }
    | undefined;
  readonly isLeaving: boolean;
  readonly digest: SideDigest | undefined;
  readonly lastHeardMs: number;
  readonly configurationVersion: number;
  /** Requests with a reservation there. */
  readonly reserved: ImmutableSet<RequestId>;
  /** Requests given there and not yet ended. */
  readonly bound: ImmutableSet<RequestId>;
}
