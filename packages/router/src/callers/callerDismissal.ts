/** Why a caller's connection is closed with a response before its request was passed to the scheduler. */
export type CallerDismissal =
  | 'bodyTooLarge'
  | 'bodyTooSlow'
  | 'headTooSlow'
  | 'headersTooLarge'
  | 'memoryShort'
  | 'tooManyConnections'
  | 'noHost'
  | 'expectationFailed';
