import { isSameOrder } from './isSameOrder.js';
import { isTerminal } from './isTerminal.js';
import type { RolloutStatus } from './rolloutStatus.js';

/** Two entries may end a roll-out differently if the store came back from a copy between them. */
const hasOtherEra = (left: RolloutStatus, right: RolloutStatus): boolean =>
  left.writtenEra !== undefined &&
  right.writtenEra !== undefined &&
  left.writtenEra !== right.writtenEra;

const isOtherEnd = (status: RolloutStatus, known: RolloutStatus): boolean =>
  isTerminal(known.stage) && isSameOrder(status.order, known.order);

/**
 * Whether a status record replaces the known one. The first terminal state of an order is final. Of two that were written
 * in different eras, `completed` holds, since the old targets have stopped.
 */
export const isNewerStatus = (status: RolloutStatus, known: RolloutStatus | undefined): boolean => {
  if (known === undefined) {
    return true;
  }
  return isOtherEnd(status, known)
    ? status.stage === 'completed' && known.stage === 'rolledBack' && hasOtherEra(status, known)
    : status.step > known.step;
};
