/** What a decision on a roll-out depends on, besides its records. */
export interface RolloutFacts {
  /** Time since the order, in milliseconds. */
  readonly ageMs: number;
  /** Time since the stage began, in milliseconds. */
  readonly stageAgeMs: number;
  readonly verdict: 'bad' | 'good' | 'open';
  readonly newTargets: number;
  readonly oldTargets: number;
  /** For how long no old target or no target at all has been listed, in milliseconds. */
  readonly incompleteMs: number;
  /** The configuration or the list of targets names the service. */
  readonly isServiceKnown: boolean;
  /** No entry has or sends a request to the old targets. */
  readonly areOldTargetsLeft: boolean;
}
