import type { StandIn } from '../server/standIn.js';

/** TCP relay that adds a fixed delay and can simulate a broken connection. */
export interface Relay extends StandIn {
  /** Closes all connections, and closes new ones at once until `heal` is called. */
  readonly cut: () => void;
  readonly heal: () => void;
}
