import { EitherAsync } from 'purify-ts';
import { z } from 'zod';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorEnvironment } from '../commandLine/operatorEnvironment.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { DOCUMENT_KINDS } from './documentKinds.js';
import { readDocument } from './readDocument.js';

const hasFields = (input: unknown, fields: readonly string[]): boolean =>
  typeof input === 'object' && input !== null && fields.some((field) => field in input);

/** Checks a settings file or a configuration document; its fields identify its kind unless the operator names it. */
export const checkSettingsFile = (
  environment: Pick<OperatorEnvironment, 'readFile'>,
  file: string,
  kindName: string | undefined,
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const input = await steps.fromPromise(readDocument(environment, file, z.unknown()));
    const kind = DOCUMENT_KINDS.find(({ name, identifyingFields: fields }) =>
      kindName === undefined ? hasFields(input, fields) : name === kindName,
    );
    if (kind === undefined) {
      const kinds = DOCUMENT_KINDS.map(({ name }) => name);
      return steps.throwE(
        kindName === undefined
          ? { type: 'unknownDocument', file, kinds }
          : { type: 'badUse', detail: `--as takes one of: ${kinds.join(', ')}.` },
      );
    }
    await steps.fromPromise(readDocument<unknown>(environment, file, kind.schema));
    return {
      text: `${file}: no faults (${kind.name})`,
      json: { file, kind: kind.name, faults: [] },
    };
  });
