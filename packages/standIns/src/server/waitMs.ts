import { setTimeout as sleep } from 'node:timers/promises';

/** Waits for a time in milliseconds; 0 does not wait. */
export const waitMs = async (milliseconds: number): Promise<void> => {
  if (milliseconds > 0) {
    await sleep(milliseconds);
  }
};
