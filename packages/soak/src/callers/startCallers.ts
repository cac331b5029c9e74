import { Agent } from 'node:http';
import { MS_PER_SECOND } from '@parsleyhall/common';
import type { History } from '../history/history.js';
import type { RequestKind } from '../history/requestKind.js';
import type { SoakEntry } from '../system/soakEntry.js';
import type { Callers } from './callers.js';
import { sendRequest } from './sendRequest.js';

const PERIOD_MS = 20;
const KINDS: readonly RequestKind[] = ['idempotent', 'nonIdempotent', 'stream'];
const LEAVING_SHARE = 0.3;
const LONGEST_STAY_MS = 250;
const KEPT_SHARE = 0.4;

/** Starts callers that keep coming; `perSecond` at all entries together. */
export const startCallers = ({
  entries,
  perSecond,
  history,
  random,
}: {
  readonly entries: readonly SoakEntry[];
  readonly perSecond: number;
  readonly history: History;
  readonly random: () => number;
}): Callers => {
  const agents = entries.map(() => new Agent({ keepAlive: true }));
  const under = new Set<Promise<void>>();
  let count = 0;
  let due = 0;
  let times = 1;

  const send = (): void => {
    const taking = entries.map((_, index) => index).filter((index) => entries[index]?.isTaking());
    const entry = taking[Math.floor(random() * taking.length)];
    const address = entry === undefined ? undefined : entries[entry];
    if (entry === undefined || address === undefined) {
      return;
    }
    const { ip, port } = address;
    count += 1;
    const { sent, whenOver } = sendRequest({
      id: `r${count}`,
      kind: KINDS[Math.floor(random() * KINDS.length)] ?? 'idempotent',
      entry,
      ip,
      port,
      agent: random() < KEPT_SHARE ? agents[entry] : undefined,
      leaveAfterMs: random() < LEAVING_SHARE ? random() * LONGEST_STAY_MS : undefined,
    });
    history.requests.push(sent);
    under.add(whenOver);
    void whenOver.then(() => under.delete(whenOver));
  };

  const coming = setInterval(() => {
    due += (perSecond * times * PERIOD_MS) / MS_PER_SECOND;
    for (; due >= 1; due -= 1) {
      send();
    }
  }, PERIOD_MS);
  return {
    multiply: (by) => {
      times *= by;
    },
    end: async () => {
      clearInterval(coming);
      await Promise.all(under);
      agents.forEach((agent) => {
        agent.destroy();
      });
    },
  };
};
