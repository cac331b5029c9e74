import type { Schedule } from '../schedule/schedule.js';
import type { History } from '../world/history.js';
import type { ObservedRequest } from './observedRequest.js';

/** A run of the world as the checks see it. */
export interface Observation {
  readonly schedule: Schedule;
  readonly history: History;
  readonly requests: readonly ObservedRequest[];
}
