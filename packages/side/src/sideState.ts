import type { Map } from 'immutable';
import type { EntryId } from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { Rules } from './configuration/rules.js';
import type { EstimatesState } from './estimates/estimatesState.js';
import type { GrantsState } from './grants/grantsState.js';
import type { LeavingState } from './leaving/leavingState.js';
import type { Peer } from './peers/peer.js';
import type { PeriodsState } from './peers/periodsState.js';
import type { QueueState } from './queue/queueState.js';
import type { CalledState } from './runs/calledState.js';
import type { RunsState } from './runs/runsState.js';
import type { DrainState } from './shedding/drainState.js';
import type { SheddingState } from './shedding/sheddingState.js';
import type { Occupancy } from './window/occupancy.js';
import type { WindowState } from './window/windowState.js';

/** Everything that a side process knows; never changed in place. */
export interface SideState {
  readonly configuration: ConfigurationState;
  readonly rules: Rules;
  readonly peers: Map<EntryId, Peer>;
  readonly periods: PeriodsState;
  readonly queue: QueueState;
  readonly grants: GrantsState;
  readonly called: CalledState;
  readonly runs: RunsState;
  readonly occupancy: Occupancy;
  readonly window: WindowState;
  readonly estimates: EstimatesState;
  readonly drain: DrainState;
  readonly shedding: SheddingState;
  readonly leaving: LeavingState;
}
