import { type Either, Left, Right } from 'purify-ts';
import { CONFIGURATION_STREAM, foldConfigurationPage } from '@parsleyhall/configuration';
import type { LogClient, LogFailure, LogPage } from '@parsleyhall/clients';
import type { ConfigurationHistory } from './configurationHistory.js';

const PAGE_RECORDS = 256;

interface ReadHistory {
  readonly history: ConfigurationHistory;
  readonly isAtEnd: boolean;
}

const takePage = (history: ConfigurationHistory, page: LogPage): ReadHistory => {
  const { reader, verdicts } = foldConfigurationPage(history.reader, page);
  return {
    history: {
      reader,
      records: [...history.records, ...page.records],
      verdicts: [...history.verdicts, ...verdicts],
    },
    isAtEnd: page.nextOffset >= page.endOffset,
  };
};

const skipTo = (history: ConfigurationHistory, earliestOffset: number): ReadHistory => {
  const page = { from: earliestOffset, nextOffset: earliestOffset, records: [] };
  const { reader, verdicts } = foldConfigurationPage(history.reader, page);
  return {
    history: { ...history, reader, verdicts: [...history.verdicts, ...verdicts] },
    isAtEnd: false,
  };
};

/** Reads the next page of the configuration stream; waits up to `waitMs` at its end. */
export const readHistoryPage = async (
  log: Pick<LogClient, 'read'>,
  history: ConfigurationHistory,
  waitMs: number,
): Promise<Either<LogFailure, ReadHistory>> => {
  const page = await log.read({
    stream: CONFIGURATION_STREAM,
    from: history.reader.nextOffset,
    limit: PAGE_RECORDS,
    waitMs,
  });
  return page.caseOf<Either<LogFailure, ReadHistory>>({
    Left: (failure) =>
      failure.type === 'trimmed' ? Right(skipTo(history, failure.earliestOffset)) : Left(failure),
    Right: (value) => Right(takePage(history, value)),
  });
};
