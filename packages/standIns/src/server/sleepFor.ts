import { setTimeout as sleep } from 'node:timers/promises';

/** Waits for a duration in milliseconds. With 0 it returns without starting a timer. */
export const sleepFor = async (durationMs: number): Promise<void> => {
  if (durationMs > 0) {
    await sleep(durationMs);
  }
};
