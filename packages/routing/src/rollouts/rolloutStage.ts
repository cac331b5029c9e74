/**
 * How far a roll-out is: a share of the requests goes to the new version; half of them; all of them while the last ones at
 * the old targets end; or it has ended.
 */
export type RolloutStage = 'exposing' | 'shifting' | 'leavingOld' | 'completed' | 'rolledBack';
