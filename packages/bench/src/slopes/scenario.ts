/** A reducer with a state of some size and the steps that are timed on it. */
export interface Scenario {
  /** The state that the steps start from. */
  readonly state: unknown;
  readonly steps: readonly {
    readonly name: string;
    /** Events that one run of the step handles. */
    readonly events: number;
    readonly run: () => void;
  }[];
}
