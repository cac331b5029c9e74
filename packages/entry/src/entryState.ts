import type { Map as ImmutableMap } from 'immutable';
import type { OrderedIndex, PoolName, RequestId, SideId, TeamName } from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { KeyPartition } from './keys/keyPartition.js';
import type { PoolState } from './pools/poolState.js';
import type { TrackedRequest } from './requests/trackedRequest.js';
import type { SideLink } from './sides/sideLink.js';
import type { TeamUsage } from './teams/teamUsage.js';

/** Everything an entry knows; lost with the process. */
export interface EntryState {
  readonly lastNowMs: number;
  readonly configuration: ConfigurationState;
  readonly sides: ImmutableMap<SideId, SideLink>;
  readonly pools: ImmutableMap<PoolName, PoolState>;
  readonly requests: ImmutableMap<RequestId, TrackedRequest>;
  readonly due: OrderedIndex<RequestId>;
  readonly waitingCount: number;
  readonly waitingBytes: number;
  readonly arrivals: number;
  readonly partitions: ImmutableMap<number, KeyPartition>;
  readonly teams: ImmutableMap<TeamName, TeamUsage>;
  readonly liveEntries: number;
  readonly nextHeartbeatAtMs: number;
  readonly isStopping: boolean;
  readonly isStopped: boolean;
}
