import { EitherAsync } from 'purify-ts';
import {
  EMPTY_KEY_STATE,
  KEY_PARTITIONS,
  foldKeyRecord,
  getKeyPartition,
  getKeyStream,
  keyRecordSchema,
} from '@parsleyhall/entry';
import type { LogFailure, LogRecord } from '@parsleyhall/clients';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import type { KeyReading } from './keyReading.js';

const PAGE_RECORDS = 512;

const foldRecord = (reading: KeyReading, { offset, value }: LogRecord): KeyReading => {
  const record = keyRecordSchema.safeParse(value);
  if (!record.success || record.data.key !== reading.key) {
    return reading;
  }
  return { ...reading, state: foldKeyRecord(reading.state, offset, record.data) };
};

const toFailure = (failure: LogFailure): OperatorFailure => ({ type: 'logFailed', failure });

/** Reads what the log still has of an idempotency key, up to the end of its partition as of now. */
export const readKey = (
  { log }: Pick<OperatorSession, 'log'>,
  key: string,
): EitherAsync<OperatorFailure, KeyReading> =>
  EitherAsync(async (steps) => {
    const partition = getKeyPartition(key, KEY_PARTITIONS);
    const stream = getKeyStream(partition);
    let reading: KeyReading = { key, partition, state: EMPTY_KEY_STATE };
    let from = 1;
    let isAtEnd = false;
    while (!isAtEnd) {
      const page = await log.read({ stream, from, limit: PAGE_RECORDS, waitMs: 0 });
      const failure = page.swap().toMaybe().extractNullable();
      if (failure?.type === 'trimmed') {
        from = failure.earliestOffset;
        continue;
      }
      const { records, nextOffset, endOffset } = await steps.liftEither(page.mapLeft(toFailure));
      reading = records.reduce(foldRecord, reading);
      from = nextOffset;
      isAtEnd = nextOffset >= endOffset;
    }
    return reading;
  });
