import type { KeyRecord } from '@parsleyhall/entry';
import { followStream } from '@parsleyhall/clients';
import type { LogClient, LogFailure, LogPage } from '@parsleyhall/clients';
import type { EntryEventBody } from '../entryProcess/entryEventBody.js';
import { createKeyRecordAppender } from './createKeyRecordAppender.js';
import { getKeyStreamName } from './getKeyStreamName.js';
import type { IdempotencyKeyLog } from './idempotencyKeyLog.js';
import { parseKeyRecords } from './parseKeyRecords.js';

const FIRST_OFFSET = 1;

const toEvent = (partition: number, page: LogPage): EntryEventBody => ({
  type: 'keyRecordsRead',
  partition,
  records: parseKeyRecords(page.records),
  nextOffset: page.nextOffset,
  isAtEnd: page.nextOffset >= page.endOffset,
});

/** Starts to follow all partitions from the first record that the log keeps. */
export const startIdempotencyKeyLog = ({
  client,
  partitions,
  onEvent,
  onFailure,
  onRefused,
}: {
  readonly client: LogClient;
  readonly partitions: number;
  readonly onEvent: (event: EntryEventBody) => void;
  readonly onFailure: (failure: LogFailure) => void;
  readonly onRefused: (records: readonly KeyRecord[], failure: LogFailure) => void;
}): IdempotencyKeyLog => {
  const stop = new AbortController();
  const partitionNumbers = Array.from({ length: partitions }, (_, partition) => partition);
  const appenders = partitionNumbers.map((partition) =>
    createKeyRecordAppender({ client, partition, onFailure, onRefused }),
  );
  const following = partitionNumbers.map((partition) =>
    followStream({
      client,
      stream: getKeyStreamName(partition),
      from: FIRST_OFFSET,
      onPage: (page) => {
        appenders[partition]?.advanceReadOffset(page.nextOffset);
        onEvent(toEvent(partition, page));
      },
      onFailure,
      signal: stop.signal,
    }),
  );
  return {
    append: (partition, record) => {
      appenders[partition]?.append(record);
    },
    flush: async () => {
      await Promise.all(appenders.map((appender) => appender.flush()));
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await Promise.all(appenders.map((appender) => appender[Symbol.asyncDispose]()));
      await Promise.all(following);
    },
  };
};
