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
import type { KeyReadResult } from './keyReadResult.js';

const MAX_PAGE_RECORDS = 512;

const foldRecord = (result: KeyReadResult, { offset, value }: LogRecord): KeyReadResult => {
  const record = keyRecordSchema.safeParse(value);
  if (!record.success || record.data.key !== result.key) {
    return result;
  }
  return { ...result, state: foldKeyRecord(result.state, offset, record.data) };
};

const toFailure = (failure: LogFailure): OperatorFailure => ({ type: 'logFailed', failure });

/** Folds the records that the log still has of an idempotency key, up to the current end of its partition. */
export const readKey = (
  { log }: Pick<OperatorSession, 'log'>,
  key: string,
): EitherAsync<OperatorFailure, KeyReadResult> =>
  EitherAsync(async (steps) => {
    const partition = getKeyPartition(key, KEY_PARTITIONS);
    const stream = getKeyStream(partition);
    let result: KeyReadResult = { key, partition, state: EMPTY_KEY_STATE };
    let from = 1;
    let isAtEnd = false;
    while (!isAtEnd) {
      const page = await log.read({ stream, from, limit: MAX_PAGE_RECORDS, waitMs: 0 });
      const failure = page.swap().toMaybe().extractNullable();
      if (failure?.type === 'trimmed') {
        from = failure.earliestOffset;
        continue;
      }
      const { records, nextOffset, endOffset } = await steps.liftEither(page.mapLeft(toFailure));
      result = records.reduce(foldRecord, result);
      from = nextOffset;
      isAtEnd = nextOffset >= endOffset;
    }
    return result;
  });
