/** How much state a reducer holds. */
export interface ScenarioSize {
  readonly waiting: number;
  readonly peers: number;
  readonly teams: number;
}
