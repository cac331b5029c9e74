/** When the steps of a roll-out are due, in milliseconds since the order. */
export interface RolloutTimes {
  /** The evidence may decide from here on. The earlier, the more a version gets that turns bad only afterwards. */
  readonly decideFromMs: number;
  /** A roll-out that is still undecided is rolled back. */
  readonly decideUntilMs: number;
  /** How long half of the requests go to each version. */
  readonly shiftingMs: number;
  /** Old targets are kept until here, so that a version that turns bad late can still be rolled back. */
  readonly completeFromMs: number;
  /** Requests that still run at old targets are moved where they may run again. */
  readonly moveFromMs: number;
  /** A roll-out whose old targets are still busy is rolled back. */
  readonly giveUpAtMs: number;
}
