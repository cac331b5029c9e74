/** Promises of the product that were seen broken in a run, as counts; all should be 0. */
export interface PromiseChecks {
  /** Attempts that an engine ran more than once. */
  readonly dispatchedTwice: number;
  /** Attempts told `not run` that a target ran. */
  readonly ranThoughNotRun: number;
  /** Idempotency keys run more than once. */
  readonly keysRunTwice: number;
  readonly wrongAnswers: number;
  /** Refusals by load of a higher tier, with a lower tier of the same pool begun shortly after. */
  readonly shedBeforeLowerTier: number;
}
