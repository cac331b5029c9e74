/** Why a side process hands a reservation back before any grant. */
export type HandBackReason =
  | 'draining'
  | 'shed'
  | 'deadlineUnreachable'
  | 'wrongPool'
  | 'noConfiguration'
  | 'queueFull'
  | 'targetDown';
