import { setTimeout as delay } from 'node:timers/promises';
import type { HostList, HostListClient, PlatformFailure } from '@parsleyhall/clients';

/** Reads the list of hosts again and again until disposed of. */
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
      const listed = await client.list({ signal });
      if (!isStopped()) {
        listed.caseOf({ Left: onFailure, Right: onList });
      }
      await delay(periodMs, undefined, { signal }).catch(() => undefined);
    }
  };
  const polled = poll();
  return {
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await polled;
    },
  };
};
