import type { Confirmation } from './configuration/confirmation.js';
import type { RoutingEvent } from './routingEvent.js';

/** What happened, and when by both clocks. */
export interface StampedRoutingEvent {
  readonly now: Confirmation;
  readonly event: RoutingEvent;
}
