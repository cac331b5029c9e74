/** An operator's order to move a service to targets of another version. */
export interface RolloutOrder {
  /** Identifies the order among all orders for the service. */
  readonly id: string;
  /** How often the store had come back from an older copy; ids of two eras are not compared. */
  readonly era: number;
  readonly service: string;
  /** The version to move to. */
  readonly version: string;
  /** The time allowed, in milliseconds. */
  readonly durationMs: number;
}
