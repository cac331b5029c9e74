import { setTimeout as delay } from 'node:timers/promises';
import type { KeyRecord } from '@parsleyhall/entry';
import type { LogClient, LogFailure } from '@parsleyhall/clients';
import { getKeyStream } from './getKeyStream.js';
import { getRecordIdentity } from './getRecordIdentity.js';
import type { KeyAppender } from './keyAppender.js';
import { toKeyRecords } from './toKeyRecords.js';

const LARGEST_BATCH_RECORDS = 512;
const PAGE_RECORDS = 512;
const RETRY_MS = 100;

/**
 * Creates the appender of a partition: one append in flight, the next batch is what gathered meanwhile. After a lost
 * answer it reads whether the records show before it appends them again.
 */
export const createKeyAppender = ({
  client,
  partition,
  onFailure,
  onRefused,
}: {
  readonly client: LogClient;
  readonly partition: number;
  readonly onFailure: (failure: LogFailure) => void;
  /** The log will not take the records, whatever is tried. */
  readonly onRefused: (records: readonly KeyRecord[], failure: LogFailure) => void;
}): KeyAppender => {
  const stream = getKeyStream(partition);
  const stop = new AbortController();
  const { signal } = stop;
  let waiting: KeyRecord[] = [];
  let running: Promise<void> | undefined;
  let readTo = 1;

  const pause = async (waitMs: number): Promise<void> => {
    await delay(waitMs, undefined, { signal }).catch(() => undefined);
  };

  // Reads from where the partition stood before the append up to its end.
  const readShown = async (from: number): Promise<ReadonlySet<string>> => {
    const shown = new Set<string>();
    const place = { next: from, isAtEnd: false };
    while (!place.isAtEnd && !signal.aborted) {
      const page = await client.read({
        stream,
        from: place.next,
        limit: PAGE_RECORDS,
        waitMs: 0,
        signal,
      });
      await page.caseOf({
        Left: async (failure) => {
          place.next = failure.type === 'trimmed' ? failure.earliestOffset : place.next;
          await pause(RETRY_MS);
        },
        Right: ({ records, nextOffset, endOffset }) => {
          toKeyRecords(records).forEach(({ record }) => shown.add(getRecordIdentity(record)));
          place.next = nextOffset;
          place.isAtEnd = nextOffset >= endOffset;
          return Promise.resolve();
        },
      });
    }
    return shown;
  };

  const getMissing = async (
    batch: readonly KeyRecord[],
    failure: LogFailure,
    from: number,
  ): Promise<readonly KeyRecord[]> => {
    onFailure(failure);
    switch (failure.type) {
      case 'outcomeUnknown': {
        const shown = await readShown(from);
        return batch.filter((record) => !shown.has(getRecordIdentity(record)));
      }
      case 'rateLimited':
        await pause(failure.retryAfterMs);
        return batch;
      case 'unavailable':
      case 'trimmed':
        await pause(RETRY_MS);
        return batch;
      case 'malformed':
        onRefused(batch, failure);
        return [];
      case 'aborted':
        return [];
    }
  };

  const appendBatch = async (batch: readonly KeyRecord[]): Promise<void> => {
    const from = readTo;
    let missing = batch;
    while (missing.length > 0 && !signal.aborted) {
      const appended = await client.append({ stream, records: missing, signal });
      missing = await appended.caseOf({
        Left: (failure) => getMissing(missing, failure, from),
        Right: () => Promise.resolve([]),
      });
    }
  };

  const run = async (): Promise<void> => {
    while (waiting.length > 0 && !signal.aborted) {
      const batch = waiting.slice(0, LARGEST_BATCH_RECORDS);
      waiting = waiting.slice(LARGEST_BATCH_RECORDS);
      await appendBatch(batch);
    }
    running = undefined;
  };

  return {
    append: (record) => {
      waiting.push(record);
      running ??= run();
    },
    noteRead: (nextOffset) => {
      readTo = Math.max(readTo, nextOffset);
    },
    flush: async () => {
      await running;
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await running;
    },
  };
};
