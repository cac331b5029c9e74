import type { StandIn } from '../server/standIn.js';

/** A TCP relay with a fixed delay that can be cut. */
export interface Relay extends StandIn {
  /** Cuts all connections and refuses new ones until healed. */
  readonly cut: () => void;
  readonly heal: () => void;
}
