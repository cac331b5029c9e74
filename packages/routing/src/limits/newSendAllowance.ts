import type { SendAllowance } from './sendAllowance.js';

/** The allowance of an entry that has just learned of a limit: it may send once its share has accrued. */
export const newSendAllowance = (): SendAllowance => ({ perSecond: 0, sends: 0, dividedFor: '' });
