import { Agent } from 'undici';
import type { CallOutcome } from './callOutcome.js';
import type { PlannedCall } from './plannedCall.js';
import { sendCall } from './sendCall.js';

/** Sends a schedule open loop, each call at its time whatever became of the others, and waits for all answers. */
export const runSchedule = async (
  entries: readonly string[],
  calls: readonly PlannedCall[],
  onAllSent: () => Promise<void> = () => Promise.resolve(),
): Promise<readonly CallOutcome[]> => {
  const dispatcher = new Agent({ pipelining: 1, keepAliveTimeout: 30_000 });
  const startedAtMs = performance.now();
  const sent: Promise<CallOutcome>[] = [];
  await new Promise<void>((resolve) => {
    const sendDue = (): void => {
      const elapsedMs = performance.now() - startedAtMs;
      for (let next = calls[sent.length]; next !== undefined; next = calls[sent.length]) {
        if (next.atMs > elapsedMs) {
          setTimeout(sendDue, next.atMs - elapsedMs);
          return;
        }
        sent.push(sendCall(dispatcher, entries, next));
      }
      resolve();
    };
    sendDue();
  });
  await onAllSent();
  const outcomes = await Promise.all(sent);
  await dispatcher.destroy();
  return outcomes;
};
