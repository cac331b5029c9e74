import type { RolloutStage } from './rolloutStage.js';

/** Whether a roll-out in this stage has ended. */
export const isTerminal = (stage: RolloutStage): boolean =>
  stage === 'completed' || stage === 'rolledBack';
