/** Why this entry answers a request itself. */
export type RefusalReason =
  | 'stopping'
  | 'noConfiguration'
  | 'configurationUnconfirmed'
  | 'noRoute'
  | 'unknownKey'
  | 'quotaExceeded'
  | 'noTarget'
  | 'overloaded'
  | 'deadlinePassed'
  | 'refusedByTargets'
  | 'outcomeUnknown'
  | 'timedOut';
