import { setTimeout as wait } from 'node:timers/promises';
import { callOnce } from './callOnce.js';

const PAUSE_BETWEEN_ATTEMPTS_MS = 200;
const ATTEMPT_TIMEOUT_MS = 5_000;
/** Attempts end after so long in all. */
const MAX_WAIT_MS = 40_000;

/** Sends one small request, again after a refusal, and returns the last status; undefined if there was no response. */
export const callOrdinarily = async (address: string): Promise<number | undefined> => {
  const endMs = performance.now() + MAX_WAIT_MS;
  while (performance.now() < endMs) {
    const status = await callOnce(address, ATTEMPT_TIMEOUT_MS);
    if (status === 200) {
      return status;
    }
    await wait(PAUSE_BETWEEN_ATTEMPTS_MS);
  }
  return undefined;
};
