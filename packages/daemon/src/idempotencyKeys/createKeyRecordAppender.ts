import { setTimeout as delay } from 'node:timers/promises';
import type { KeyRecord } from '@parsleyhall/entry';
import type { LogClient, LogFailure } from '@parsleyhall/clients';
import { getKeyStreamName } from './getKeyStreamName.js';
import { getKeyRecordIdentity } from './getKeyRecordIdentity.js';
import type { KeyRecordAppender } from './keyRecordAppender.js';
import { parseKeyRecords } from './parseKeyRecords.js';

const MAX_BATCH_RECORDS = 512;
const MAX_PAGE_RECORDS = 512;
const RETRY_DELAY_MS = 100;

/**
 * Creates the appender of a partition. One append is in flight at a time; records added meanwhile form the next batch.
 * When the outcome of an append is unknown, it reads the partition and appends only the records that were not stored.
 */
export const createKeyRecordAppender = ({
  client,
  partition,
  onFailure,
  onRefused,
}: {
  readonly client: LogClient;
  readonly partition: number;
  readonly onFailure: (failure: LogFailure) => void;
  /** Called when the log rejects the records permanently, so that retries are pointless. */
  readonly onRefused: (records: readonly KeyRecord[], failure: LogFailure) => void;
}): KeyRecordAppender => {
  const stream = getKeyStreamName(partition);
  const stop = new AbortController();
  const { signal } = stop;
  let pending: KeyRecord[] = [];
  let runningAppends: Promise<void> | undefined;
  let readOffset = 1;

  const pause = async (waitMs: number): Promise<void> => {
    await delay(waitMs, undefined, { signal }).catch(() => undefined);
  };

  // Reads from the offset reached before the append to the end of the partition.
  const readStoredIdentities = async (from: number): Promise<ReadonlySet<string>> => {
    const storedIdentities = new Set<string>();
    const cursor = { next: from, isAtEnd: false };
    while (!cursor.isAtEnd && !signal.aborted) {
      const page = await client.read({
        stream,
        from: cursor.next,
        limit: MAX_PAGE_RECORDS,
        waitMs: 0,
        signal,
      });
      await page.caseOf({
        Left: async (failure) => {
          cursor.next = failure.type === 'trimmed' ? failure.earliestOffset : cursor.next;
          await pause(RETRY_DELAY_MS);
        },
        Right: ({ records, nextOffset, endOffset }) => {
          parseKeyRecords(records).forEach(({ record }) =>
            storedIdentities.add(getKeyRecordIdentity(record)),
          );
          cursor.next = nextOffset;
          cursor.isAtEnd = nextOffset >= endOffset;
          return Promise.resolve();
        },
      });
    }
    return storedIdentities;
  };

  const getRecordsToRetry = async (
    batch: readonly KeyRecord[],
    failure: LogFailure,
    from: number,
  ): Promise<readonly KeyRecord[]> => {
    onFailure(failure);
    switch (failure.type) {
      case 'outcomeUnknown': {
        const storedIdentities = await readStoredIdentities(from);
        return batch.filter((record) => !storedIdentities.has(getKeyRecordIdentity(record)));
      }
      case 'rateLimited':
        await pause(failure.retryAfterMs);
        return batch;
      case 'unavailable':
      case 'trimmed':
        await pause(RETRY_DELAY_MS);
        return batch;
      case 'malformed':
        onRefused(batch, failure);
        return [];
      case 'aborted':
        return [];
    }
  };

  const appendBatch = async (batch: readonly KeyRecord[]): Promise<void> => {
    const from = readOffset;
    let remaining = batch;
    while (remaining.length > 0 && !signal.aborted) {
      const appended = await client.append({ stream, records: remaining, signal });
      remaining = await appended.caseOf({
        Left: (failure) => getRecordsToRetry(remaining, failure, from),
        Right: () => Promise.resolve([]),
      });
    }
  };

  const appendPending = async (): Promise<void> => {
    while (pending.length > 0 && !signal.aborted) {
      const batch = pending.slice(0, MAX_BATCH_RECORDS);
      pending = pending.slice(MAX_BATCH_RECORDS);
      await appendBatch(batch);
    }
    runningAppends = undefined;
  };

  return {
    append: (record) => {
      pending.push(record);
      runningAppends ??= appendPending();
    },
    advanceReadOffset: (nextOffset) => {
      readOffset = Math.max(readOffset, nextOffset);
    },
    flush: async () => {
      await runningAppends;
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await runningAppends;
    },
  };
};
