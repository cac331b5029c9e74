import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 50;

/** Polls a check until it holds; throws after the time allowed, in milliseconds. */
export const waitUntil = async (
  what: string,
  allowedMs: number,
  check: () => Promise<boolean>,
): Promise<void> => {
  const untilMs = performance.now() + allowedMs;
  while (!(await check().catch(() => false))) {
    if (performance.now() > untilMs) {
      throw new Error(`not within ${allowedMs} ms: ${what}`);
    }
    await sleep(POLL_MS);
  }
};
