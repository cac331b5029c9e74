import { EitherAsync } from 'purify-ts';
import { configurationDocumentSchema, getDifference } from '@parsleyhall/configuration';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { readDocument } from '../settings/readDocument.js';
import { formatDifference } from './formatDifference.js';
import { readHistory } from './readHistory.js';

/** Shows how a document differs from the one in force; changes nothing. */
export const diffConfiguration = (
  { environment, log }: OperatorSession,
  file: string,
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const document = await steps.fromPromise(
      readDocument(environment, file, configurationDocumentSchema),
    );
    const { reader } = await steps.fromPromise(readHistory(log));
    const differences = getDifference(reader.state.document ?? {}, document);
    return {
      text: formatDifference(differences),
      json: { version: reader.state.version, differences },
    };
  });
