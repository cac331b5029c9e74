import type { ClockReading } from './configuration/clockReading.js';
import type { RoutingEvent } from './routingEvent.js';

/** An event and the reading of both clocks at its time. */
export interface TimestampedRoutingEvent {
  readonly now: ClockReading;
  readonly event: RoutingEvent;
}
