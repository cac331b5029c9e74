import type { Confirmation } from '../configuration/confirmation.js';
import type { RoutingSettings } from '../routingSettings.js';

/** What every step may look at besides the state. */
export interface Scope {
  readonly settings: RoutingSettings;
  readonly now: Confirmation;
  /** The steady clock of `now`, in milliseconds. */
  readonly nowMs: number;
}
