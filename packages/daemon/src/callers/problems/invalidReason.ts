/** Why a request is rejected as invalid. */
export type InvalidReason =
  | 'malformedJson'
  | 'malformedBody'
  | 'malformedHeader'
  | 'malformedPath'
  | 'malformedRequest'
  | 'missingIdempotencyKey'
  | 'malformedIdempotencyKey'
  | 'unknownTeam'
  | 'unknownModel'
  | 'unknownPool'
  | 'unknownPath'
  | 'requestTooSlow'
  | 'idempotencyKeyTooOld'
  | 'answerNotKept'
  | 'bodyTooLarge'
  | 'idempotencyKeyOfOtherRequest'
  | 'headersTooLarge';
