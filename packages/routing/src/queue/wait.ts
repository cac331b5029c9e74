/** How long a request would wait, and what that was predicted from. */
export interface Wait {
  /** In milliseconds; infinite where more urgent work takes all. */
  readonly waitMs: number;
  /** Slots that this entry counts on. */
  readonly heldSlots: number;
  /** Slots that more urgent arrivals keep busy. */
  readonly urgentSlots: number;
}
