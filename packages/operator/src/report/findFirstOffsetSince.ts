import { EitherAsync } from 'purify-ts';
import type { LogClient } from '@parsleyhall/clients';
import type { OperatorFailure } from '../failure/operatorFailure.js';

/** Finds, by binary search, the first offset of a stream whose record was appended at or after a wall-clock time. */
export const findFirstOffsetSince = (
  log: Pick<LogClient, 'read'>,
  stream: string,
  sinceMs: number,
): EitherAsync<OperatorFailure, number> =>
  EitherAsync(async (steps) => {
    let low = 1;
    let high: number | undefined;
    while (high === undefined || low < high) {
      const from: number = high === undefined ? low : Math.floor((low + high) / 2);
      const page = await log.read({ stream, from, limit: 1, waitMs: 0 });
      const trimmed = page.swap().toMaybe().extractNullable();
      if (trimmed?.type === 'trimmed') {
        low = trimmed.earliestOffset;
        continue;
      }
      const { endOffset, records } = await steps.liftEither(
        page.mapLeft<OperatorFailure>((failure) => ({ type: 'logFailed', failure })),
      );
      const [record] = records;
      high ??= endOffset;
      if (record !== undefined && record.appendedAtMs < sinceMs) {
        low = record.offset + 1;
      } else {
        high = from;
      }
    }
    return low;
  });
