/** Why this entry refuses a request. */
export type RefusalReason =
  | 'stopping'
  | 'noConfiguration'
  | 'configurationUnconfirmed'
  | 'noRoute'
  | 'unknownKey'
  | 'keyChanged'
  | 'quotaExceeded'
  | 'noTarget'
  | 'promptQuarantined'
  | 'exceedsMemory'
  | 'overloaded'
  | 'deadlinePassed'
  | 'refusedByTargets'
  | 'outcomeUnknown'
  | 'timedOut';
