import { EitherAsync } from 'purify-ts';
import { configurationDocumentSchema, getDifference } from '@parsleyhall/configuration';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { readDocument } from '../settings/readDocument.js';
import { formatDifference } from './formatDifference.js';
import { readHistory } from './readHistory.js';
import { submitChange } from './submitChange.js';

/** Shows how a document differs from the one in force and publishes it. */
export const publishConfiguration = (
  session: OperatorSession,
  file: string,
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const { environment, settings, log } = session;
    const document = await steps.fromPromise(
      readDocument(environment, file, configurationDocumentSchema),
    );
    const history = await steps.fromPromise(readHistory(log));
    const differences = getDifference(history.reader.state.document ?? {}, document);
    environment.printError(formatDifference(differences));
    const state = await steps.fromPromise(
      submitChange(session, history, {
        type: 'publish',
        publicationId: environment.createPublicationId(),
        base: history.reader.state.version,
        operator: settings.operator,
        document,
      }),
    );
    const { version, presetInForce } = state;
    return {
      text: `Version ${version} is accepted; preset in force: ${presetInForce ?? 'none'}.`,
      json: { version, presetInForce, differences },
    };
  });
