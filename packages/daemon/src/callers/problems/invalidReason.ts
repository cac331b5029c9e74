/** Why a request is refused as invalid before it waits for a target. */
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
