import { EitherAsync } from 'purify-ts';
import {
  type LogClient,
  type LogRecord,
  REPORT_STREAM,
  type ReportRecord,
  reportRecordSchema,
} from '@parsleyhall/clients';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { findFirstOffsetSince } from './findFirstOffsetSince.js';

const MAX_PAGE_RECORDS = 256;

const parseRecord = ({ value }: LogRecord): readonly ReportRecord[] => {
  const parsed = reportRecordSchema.safeParse(value);
  return parsed.success ? [parsed.data] : [];
};

// An entry that lost the response to an append may have appended the same record twice.
const removeDuplicates = (records: readonly ReportRecord[]): readonly ReportRecord[] => [
  ...new Map(
    records.map((record) => [`${record.entry} ${record.incarnation} ${record.fromMs}`, record]),
  ).values(),
];

/** Reads the report records that the entries have appended since a wall-clock time. */
export const readReportRecords = (
  log: Pick<LogClient, 'read'>,
  sinceMs: number,
): EitherAsync<OperatorFailure, readonly ReportRecord[]> =>
  EitherAsync(async (steps) => {
    const records: ReportRecord[] = [];
    let from = await steps.fromPromise(findFirstOffsetSince(log, REPORT_STREAM, sinceMs));
    for (;;) {
      const page = await log.read({
        stream: REPORT_STREAM,
        from,
        limit: MAX_PAGE_RECORDS,
        waitMs: 0,
      });
      const {
        records: read,
        nextOffset,
        endOffset,
      } = await steps.liftEither(
        page.mapLeft<OperatorFailure>((failure) => ({ type: 'logFailed', failure })),
      );
      records.push(...read.flatMap(parseRecord));
      from = nextOffset;
      if (nextOffset >= endOffset) {
        return removeDuplicates(records);
      }
    }
  });
