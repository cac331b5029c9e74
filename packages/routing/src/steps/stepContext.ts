import type { ClockReading } from '../configuration/clockReading.js';
import type { RoutingSettings } from '../routingSettings.js';

/** The input of a reducer step besides the state and the event. */
export interface StepContext {
  readonly settings: RoutingSettings;
  readonly now: ClockReading;
  /** The monotonic clock reading of `now`, in milliseconds. */
  readonly nowMs: number;
}
