/** The predicted wait of a request, and the slots that it was computed from. */
export interface PredictedWait {
  /** In milliseconds; infinite if more urgent work takes all slots. */
  readonly waitMs: number;
  /** Slots of the service that this entry can count on. */
  readonly heldSlots: number;
  /** Slots that more urgent arrivals are expected to occupy. */
  readonly urgentSlots: number;
}
