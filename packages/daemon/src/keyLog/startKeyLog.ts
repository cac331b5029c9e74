import type { KeyRecord } from '@parsleyhall/entry';
import { followStream } from '@parsleyhall/clients';
import type { LogClient, LogFailure, LogPage } from '@parsleyhall/clients';
import type { EntryEventBody } from '../entryShell/entryEventBody.js';
import { createKeyAppender } from './createKeyAppender.js';
import { getKeyStream } from './getKeyStream.js';
import type { KeyLog } from './keyLog.js';
import { toKeyRecords } from './toKeyRecords.js';

const FIRST_OFFSET = 1;

const toEvent = (partition: number, page: LogPage): EntryEventBody => ({
  type: 'keyRecordsRead',
  partition,
  records: toKeyRecords(page.records),
  nextOffset: page.nextOffset,
  isAtEnd: page.nextOffset >= page.endOffset,
});

/** Begins to follow all partitions from the first record that the log keeps. */
export const startKeyLog = ({
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
}): KeyLog => {
  const stop = new AbortController();
  const numbers = Array.from({ length: partitions }, (_, partition) => partition);
  const appenders = numbers.map((partition) =>
    createKeyAppender({ client, partition, onFailure, onRefused }),
  );
  const followed = numbers.map((partition) =>
    followStream({
      client,
      stream: getKeyStream(partition),
      from: FIRST_OFFSET,
      onPage: (page) => {
        appenders[partition]?.noteRead(page.nextOffset);
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
      await Promise.all(followed);
    },
  };
};
