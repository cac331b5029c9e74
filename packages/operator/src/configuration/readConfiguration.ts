import { EitherAsync } from 'purify-ts';
import type { ConfigurationDocument, ConfigurationState } from '@parsleyhall/configuration';
import type { LogClient } from '@parsleyhall/clients';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import type { ConfigurationHistory } from './configurationHistory.js';
import { readHistory } from './readHistory.js';

interface PublishedConfiguration {
  readonly history: ConfigurationHistory;
  readonly state: ConfigurationState;
  readonly document: ConfigurationDocument;
}

/** Reads the configuration in force; fails when none has been published. */
export const readConfiguration = (
  log: Pick<LogClient, 'read'>,
): EitherAsync<OperatorFailure, PublishedConfiguration> =>
  EitherAsync(async (steps) => {
    const history = await steps.fromPromise(readHistory(log));
    const { state } = history.reader;
    return state.document === undefined
      ? steps.throwE({ type: 'noConfiguration' })
      : { history, state, document: state.document };
  });
