import { setTimeout as delay } from 'node:timers/promises';
import { z } from 'zod';
import { Pool } from 'undici';
import { requestJson } from '@parsleyhall/clients';
import type { SideEventBody } from '../sideProcess/sideEventBody.js';

const RESPONSE_TIMEOUT_MS = 2_000;
const CONNECTIONS = 2;

const count = z.number().min(0);
const loadSchema = z.object({
  runningRequests: count,
  waitingRequests: count,
  keyValueUsedShare: count,
  ageMs: count,
});
const cacheSchema = z.object({
  next: count,
  events: z.array(z.object({ fingerprint: z.int().min(0), evicted: z.boolean() })),
});

/** Polls an engine's load reports and cache events until disposed of; a report that cannot be read is skipped. */
export const pollEngineReports = ({
  address,
  loadPollMs,
  cacheEventPollMs,
  onEvent,
}: {
  readonly address: string;
  readonly loadPollMs: number;
  readonly cacheEventPollMs: number;
  readonly onEvent: (event: SideEventBody) => void;
}): AsyncDisposable => {
  const dispatcher = new Pool(`http://${address}`, { connections: CONNECTIONS });
  const stop = new AbortController();
  const { signal } = stop;

  const readReport = async <Output>(
    path: string,
    schema: z.ZodType<Output>,
  ): Promise<Output | null> => {
    const response = await requestJson({
      dispatcher,
      method: 'GET',
      url: `http://${address}${path}`,
      timeoutMs: RESPONSE_TIMEOUT_MS,
      signal,
    });
    return response
      .toMaybe()
      .map(({ body }) => schema.safeParse(body).data ?? null)
      .orDefault(null);
  };

  const poll = async (periodMs: number, pollOnce: () => Promise<void>): Promise<void> => {
    while (!signal.aborted) {
      await pollOnce();
      await delay(periodMs, undefined, { signal }).catch(() => undefined);
    }
  };

  const readLoad = async (): Promise<void> => {
    const report = await readReport('/v1/load', loadSchema);
    if (report !== null && !signal.aborted) {
      onEvent({ type: 'loadReport', ...report });
    }
  };

  let nextCacheEvent = 1;
  const readCacheEvents = async (): Promise<void> => {
    const eventPage = await readReport(`/v1/cache-events?from=${nextCacheEvent}`, cacheSchema);
    if (eventPage === null || signal.aborted) {
      return;
    }
    nextCacheEvent = eventPage.next;
    for (const { fingerprint, evicted } of eventPage.events) {
      onEvent({ type: 'cacheEvent', fingerprint, isEvicted: evicted });
    }
  };

  const polls = [poll(loadPollMs, readLoad), poll(cacheEventPollMs, readCacheEvents)];
  return {
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await Promise.all(polls);
      await dispatcher.destroy();
    },
  };
};
