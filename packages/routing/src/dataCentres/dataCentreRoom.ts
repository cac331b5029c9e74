/** The slots of a service's available targets in one data centre. */
export interface DataCentreRoom {
  readonly slots: number;
  /** Slots without a request of any entry. */
  readonly freeSlots: number;
  /** Requests that this entry may send there at once, by its shares of the targets' limits. */
  readonly sendableSlots: number;
  /** Requests that all entries have in flight there. */
  readonly inFlight: number;
}
