import { EitherAsync } from 'purify-ts';
import { hasGap } from '@parsleyhall/configuration';
import type { LogClient } from '@parsleyhall/clients';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import type { ConfigurationHistory } from './configurationHistory.js';
import { EMPTY_HISTORY } from './emptyHistory.js';
import { readHistoryPage } from './readHistoryPage.js';

/** Reads the configuration stream up to its current end. */
export const readHistory = (
  log: Pick<LogClient, 'read'>,
): EitherAsync<OperatorFailure, ConfigurationHistory> =>
  EitherAsync(async (steps) => {
    let read = { history: EMPTY_HISTORY, isAtEnd: false };
    while (!read.isAtEnd) {
      const page = await readHistoryPage(log, read.history, 0);
      read = await steps.liftEither(
        page.mapLeft<OperatorFailure>((failure) => ({ type: 'logFailed', failure })),
      );
    }
    const { reader } = read.history;
    return hasGap(reader)
      ? steps.throwE({ type: 'configurationTrimmed', earliestOffset: reader.pendingFromOffset })
      : read.history;
  });
