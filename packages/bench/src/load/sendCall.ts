import { setTimeout as sleep } from 'node:timers/promises';
import type { Dispatcher } from 'undici';
import type { CallOutcome } from './callOutcome.js';
import type { PlannedCall } from './plannedCall.js';
import { sendAttempt } from './sendAttempt.js';

const MAXIMUM_RETURNS = 2;

/** Sends a call to its entry, or to the next one while none accepts the connection, and comes back as it is told. */
export const sendCall = async (
  dispatcher: Dispatcher,
  entries: readonly string[],
  call: PlannedCall,
): Promise<CallOutcome> => {
  const startedAtMs = performance.now();
  const refusals: { readonly reason: string; readonly atMs: number }[] = [];
  let entry = call.entry;
  for (let attempts = 1; ; attempts += 1) {
    const deadlineMs = call.deadlineMs - (performance.now() - startedAtMs);
    const address = entries[entry % entries.length] ?? '';
    const label = attempts === 1 ? call.label : `${call.label}/${attempts}`;
    const attempt = await sendAttempt({ dispatcher, address, call, label, deadlineMs });
    const { result, reason, status, gapsMs, firstTokenAtMs, endedAtMs, retryAfterMs } = attempt;
    const leftMs = call.deadlineMs - (endedAtMs - startedAtMs);
    if (result === 'notConnected' && attempts <= entries.length) {
      entry += 1;
      continue;
    }
    const mayReturn = result === 'notRun' && call.comesBack && refusals.length < MAXIMUM_RETURNS;
    if (mayReturn && retryAfterMs !== undefined && retryAfterMs < leftMs) {
      refusals.push({ reason, atMs: endedAtMs - startedAtMs });
      await sleep(retryAfterMs);
      continue;
    }
    return {
      call,
      sentAtMs: performance.timeOrigin + startedAtMs,
      result: result === 'notConnected' ? 'cut' : result,
      reason,
      status,
      attempts,
      refusals,
      endMs: endedAtMs - startedAtMs,
      firstTokenMs: firstTokenAtMs === undefined ? undefined : firstTokenAtMs - startedAtMs,
      gapsMs,
    };
  }
};
