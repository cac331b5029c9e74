import { Agent } from 'node:http';
import { MS_PER_SECOND } from '@parsleyhall/common';
import type { History } from '../history/history.js';
import type { RequestKind } from '../history/requestKind.js';
import type { SoakEntry } from '../system/soakEntry.js';
import type { Callers } from './callers.js';
import { sendRequest } from './sendRequest.js';

const SEND_INTERVAL_MS = 20;
const REQUEST_KINDS: readonly RequestKind[] = ['idempotent', 'nonIdempotent', 'stream'];
/** Prompts begin with one of so many parts. */
const FIRST_PARTS = 5;
const ABORTED_SHARE = 0.3;
const MAX_ABORT_DELAY_MS = 250;
const KEEP_ALIVE_SHARE = 0.4;

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
  const poisonShares = new Map<string, number>();

  const choosePromptParts = (count: number): readonly string[] => {
    const firstPart = `first-${count % FIRST_PARTS}`;
    const poison = [...poisonShares].filter(([, share]) => random() < share);
    return [firstPart, ...poison.slice(0, 1).map(([part]) => part)];
  };

  const send = (): void => {
    const acceptingIndexes = entries
      .map((_, index) => index)
      .filter((index) => entries[index]?.isAcceptingRequests());
    const entryIndex = acceptingIndexes[Math.floor(random() * acceptingIndexes.length)];
    const selectedEntry = entryIndex === undefined ? undefined : entries[entryIndex];
    if (entryIndex === undefined || selectedEntry === undefined) {
      return;
    }
    const { ip, port } = selectedEntry;
    sentCount += 1;
    const kind = REQUEST_KINDS[Math.floor(random() * REQUEST_KINDS.length)] ?? 'idempotent';
    const { sent, whenClosed } = sendRequest({
      id: `r${sentCount}`,
      kind,
      promptParts: kind === 'stream' ? choosePromptParts(sentCount) : [],
      entry: entryIndex,
      ip,
      port,
      agent: random() < KEEP_ALIVE_SHARE ? agents[entryIndex] : undefined,
      abortAfterMs: random() < ABORTED_SHARE ? random() * MAX_ABORT_DELAY_MS : undefined,
    });
    history.requests.push(sent);
    pendingRequests.add(whenClosed);
    void whenClosed.then(() => pendingRequests.delete(whenClosed));
  };

  const sendTimer = setInterval(() => {
    dueCount += (requestsPerSecond * rateFactor * SEND_INTERVAL_MS) / MS_PER_SECOND;
    for (; dueCount >= 1; dueCount -= 1) {
      send();
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
      clearInterval(sendTimer);
      await Promise.all(pendingRequests);
      agents.forEach((agent) => {
        agent.destroy();
      });
    },
  };
};
