import { type Either, Left, Right } from 'purify-ts';
import { CONFIGURATION_STREAM, foldConfigurationPage } from '@parsleyhall/configuration';
import type { LogClient, LogFailure, LogPage } from '@parsleyhall/clients';
import type { ConfigurationHistory } from './configurationHistory.js';

const MAX_PAGE_RECORDS = 256;

interface HistoryReadResult {
  readonly history: ConfigurationHistory;
  readonly isAtEnd: boolean;
}

const appendPage = (history: ConfigurationHistory, page: LogPage): HistoryReadResult => {
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

const skipToOffset = (history: ConfigurationHistory, earliestOffset: number): HistoryReadResult => {
  const page = { from: earliestOffset, nextOffset: earliestOffset, records: [] };
  const { reader, verdicts } = foldConfigurationPage(history.reader, page);
  return {
    history: { ...history, reader, verdicts: [...history.verdicts, ...verdicts] },
    isAtEnd: false,
  };
};

/** Reads the next page of the configuration stream; at its end, waits up to `waitMs` for new records. */
export const readHistoryPage = async (
  log: Pick<LogClient, 'read'>,
  history: ConfigurationHistory,
  waitMs: number,
): Promise<Either<LogFailure, HistoryReadResult>> => {
  const page = await log.read({
    stream: CONFIGURATION_STREAM,
    from: history.reader.nextOffset,
    limit: MAX_PAGE_RECORDS,
    waitMs,
  });
  return page.caseOf<Either<LogFailure, HistoryReadResult>>({
    Left: (failure) =>
      failure.type === 'trimmed'
        ? Right(skipToOffset(history, failure.earliestOffset))
        : Left(failure),
    Right: (value) => Right(appendPage(history, value)),
  });
};
