import type { Confirmation } from './configuration/confirmation.js';
import type { RoutingEvent } from './routingEvent.js';

/** An event and the reading of both clocks at its time. */
export interface StampedRoutingEvent {
  readonly now: Confirmation;
  readonly event: RoutingEvent;
}
