import { Agent } from 'node:http';
import { MS_PER_SECOND } from '@parsleyhall/common';
import type { History } from '../history/history.js';
import type { RequestKind } from '../history/requestKind.js';
import type { SoakEntry } from '../system/soakEntry.js';
import type { Callers } from './callers.js';
import { runSequentialCaller } from './runSequentialCaller.js';
import { sendRequest } from './sendRequest.js';

const SEND_INTERVAL_MS = 20;
const REQUEST_KINDS: readonly RequestKind[] = [
  'idempotent',
  'nonIdempotent',
  'stream',
  'resumableStream',
];
/** Prompts begin with one of so many parts. */
const FIRST_PARTS = 5;
const ABORTED_SHARE = 0.3;
const MAX_ABORT_DELAY_MS = 250;
const KEEP_ALIVE_SHARE = 0.4;
const SEQUENTIAL_CALLERS_PER_ENTRY = 3;

type CallerConduct = Pick<Parameters<typeof sendRequest>[0], 'agent' | 'abortAfterMs'>;

/** Starts callers that send requests to random entries; `requestsPerSecond` is the total rate over all entries. */
export const startCallers = ({
  entries,
  requestsPerSecond,
  history,
  random,
}: {
  readonly entries: readonly SoakEntry[];
  readonly requestsPerSecond: number;
  readonly history: History;
  readonly random: () => number;
}): Callers => {
  const agents = entries.map(() => new Agent({ keepAlive: true }));
  const pendingRequests = new Set<Promise<void>>();
  let sentCount = 0;
  let dueCount = 0;
  let rateFactor = 1;
  let isStopped = false;
  const poisonShares = new Map<string, number>();

  const choosePromptParts = (count: number): readonly string[] => {
    const firstPart = `first-${count % FIRST_PARTS}`;
    const poison = [...poisonShares].filter(([, share]) => random() < share);
    return [firstPart, ...poison.slice(0, 1).map(([part]) => part)];
  };

  const send = (entryIndex: number, kind: RequestKind, caller: CallerConduct): Promise<void> => {
    const entry = entries[entryIndex];
    if (entry === undefined) {
      return Promise.resolve();
    }
    sentCount += 1;
    const { sent, whenClosed } = sendRequest({
      id: `r${sentCount}`,
      kind,
      promptParts: kind === 'stream' ? choosePromptParts(sentCount) : [],
      entry: entryIndex,
      ip: entry.ip,
      port: entry.port,
      ...caller,
    });
    history.requests.push(sent);
    pendingRequests.add(whenClosed);
    void whenClosed.then(() => pendingRequests.delete(whenClosed));
    return whenClosed;
  };

  const sendToAny = (): void => {
    const acceptingIndexes = entries
      .map((_, index) => index)
      .filter((index) => entries[index]?.isAcceptingRequests());
    const entryIndex = acceptingIndexes[Math.floor(random() * acceptingIndexes.length)];
    if (entryIndex === undefined) {
      return;
    }
    const kind = REQUEST_KINDS[Math.floor(random() * REQUEST_KINDS.length)] ?? 'idempotent';
    void send(entryIndex, kind, {
      agent: random() < KEEP_ALIVE_SHARE ? agents[entryIndex] : undefined,
      abortAfterMs: random() < ABORTED_SHARE ? random() * MAX_ABORT_DELAY_MS : undefined,
    });
  };

  const sequentialCallers = entries.flatMap((entry, entryIndex) =>
    Array.from({ length: SEQUENTIAL_CALLERS_PER_ENTRY }, () =>
      runSequentialCaller({
        entry,
        send: (kind, agent) => send(entryIndex, kind, { agent, abortAfterMs: undefined }),
        isStopped: () => isStopped,
      }),
    ),
  );

  const sendTimer = setInterval(() => {
    dueCount += (requestsPerSecond * rateFactor * SEND_INTERVAL_MS) / MS_PER_SECOND;
    for (; dueCount >= 1; dueCount -= 1) {
      sendToAny();
    }
  }, SEND_INTERVAL_MS);
  return {
    multiplyRate: (factor) => {
      rateFactor *= factor;
    },
    setPoisonShare: (part, share) => {
      poisonShares.set(part, share);
    },
    stop: async () => {
      isStopped = true;
      clearInterval(sendTimer);
      await Promise.all(sequentialCallers);
      await Promise.all(pendingRequests);
      agents.forEach((agent) => {
        agent.destroy();
      });
    },
  };
};
