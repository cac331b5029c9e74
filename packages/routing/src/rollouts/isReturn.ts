import type { RolloutStatus } from './rolloutStatus.js';

/**
 * Whether an order is under way that moves a service back to the version that it had before a roll-out, or names the only
 * version that is listed. That version is neither exposed nor judged.
 */
export const isReturn = ({ stage, reason }: RolloutStatus): boolean =>
  stage === 'leavingOld' && (reason === 'orderedBack' || reason === 'noOldTargets');
