import { setTimeout as delay } from 'node:timers/promises';
import type { HostList, HostListClient, PlatformFailure } from '@parsleyhall/clients';

/** Polls the platform's host list until disposed of. */
export const pollHostList = ({
  client,
  periodMs,
  onList,
  onFailure,
}: {
  readonly client: HostListClient;
  readonly periodMs: number;
  readonly onList: (list: HostList) => void;
  readonly onFailure: (failure: PlatformFailure) => void;
}): AsyncDisposable => {
  const stop = new AbortController();
  const { signal } = stop;
  const isStopped = (): boolean => signal.aborted;
  const poll = async (): Promise<void> => {
    while (!isStopped()) {
      const listResult = await client.list({ signal });
      if (!isStopped()) {
        listResult.caseOf({ Left: onFailure, Right: onList });
      }
      await delay(periodMs, undefined, { signal }).catch(() => undefined);
    }
  };
  const polling = poll();
  return {
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await polling;
    },
  };
};
