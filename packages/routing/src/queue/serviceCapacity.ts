/** The slots of a service that this entry can count on. */
export interface ServiceCapacity {
  /** Slots to which it may send requests now. */
  readonly freeSlots: number;
  readonly totalSlots: number;
  /** Slots that its own requests use. */
  readonly usedSlots: number;
  /** The number of entries that share them, this one included. */
  readonly entries: number;
}
