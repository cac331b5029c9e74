/** The promises that the oracle checks. */
export type PromiseName =
  | 'dispatchedAtMostOnce'
  | 'sheddingOrder'
  | 'wholeOwnAnswer'
  | 'notRunIsTrue'
  | 'nonIdempotentAtMostOnce'
  | 'leavingTargetGetsNoNewWork'
  | 'plannedStopCutsNothing'
  | 'configurationInForce'
  | 'answeredInTime'
  | 'servesWhenCalm';
