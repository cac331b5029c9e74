/** A request as a target got it. */
export interface TargetRun {
  readonly id: string;
  readonly target: string;
  /** The earliest moment at which it may have come, in milliseconds of the soak's steady clock. */
  readonly earliestMs: number;
  /** The target itself cut it or was slow. */
  readonly isFaulty: boolean;
  /** The path to the target was harmed then, or shortly before. */
  readonly isPathHarmed: boolean;
}
