/** Why a roll-out entered its stage. */
export type RolloutReason =
  | 'ordered'
  | 'orderedBack'
  | 'evidenceSuffices'
  | 'stillGood'
  | 'oldTargetsLeft'
  | 'noOldTargets'
  | 'badVersion'
  | 'undecided'
  | 'oldTargetsBusy'
  | 'noTargets'
  | 'timeUnknown'
  | 'unknownService'
  | 'superseded';
