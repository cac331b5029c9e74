import { Agent } from 'undici';
import type { Cluster } from '../cluster/cluster.js';
import type { CallOutcome } from '../load/callOutcome.js';
import type { PlannedCall } from '../load/plannedCall.js';
import { sendCall } from '../load/sendCall.js';

/** Sends one domain binding under one key through every entry at once. */
export const sendBindingTwice = async (
  cluster: Cluster,
  servicePool: string,
  idempotencyKey: string,
): Promise<readonly CallOutcome[]> => {
  await using dispatcher = Object.assign(new Agent(), {
    [Symbol.asyncDispose]: () => dispatcher.destroy(),
  });
  const entries = cluster.entries.map(({ callers }) => callers);
  const call: PlannedCall = {
    label: 'binding-sent-twice',
    atMs: 0,
    entry: 0,
    team: 'alexandria',
    tier: 1,
    kind: 'binding',
    deadlineMs: 8_000,
    hangUpAfterMs: undefined,
    comesBack: false,
    work: {
      type: 'service',
      pool: servicePool,
      method: 'POST',
      path: '/domains/bindings',
      body: JSON.stringify({ domain: 'shop.example', branch: 'alexandria' }),
      idempotencyKey,
    },
  };
  const outcomes = await Promise.all(
    entries.map((_, entry) => sendCall(dispatcher, entries, { ...call, entry })),
  );
  return outcomes;
};
