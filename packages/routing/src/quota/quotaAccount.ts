/** What is left of a team's quota as this entry knows it. */
export interface QuotaAccount {
  /** May fall below zero by what other entries took. */
  readonly level: number;
  readonly updatedMs: number;
  /** All that this entry took since its start; only grows. */
  readonly takenHere: number;
}
