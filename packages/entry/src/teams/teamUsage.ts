/** What a team uses of its limits at this entry. */
export interface TeamUsage {
  readonly requestCredit: number;
  readonly tokenCredit: number;
  readonly updatedAtMs: number;
  readonly waitingRequests: number;
  readonly waitingBytes: number;
}
