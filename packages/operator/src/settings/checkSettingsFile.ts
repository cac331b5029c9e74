import { EitherAsync } from 'purify-ts';
import { z } from 'zod';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorWorld } from '../commandLine/operatorWorld.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { DOCUMENT_KINDS } from './documentKinds.js';
import { readDocument } from './readDocument.js';

const hasFields = (input: unknown, fields: readonly string[]): boolean =>
  typeof input === 'object' && input !== null && fields.some((field) => field in input);

/** Checks a settings file or a configuration document; the kind is told by its fields unless it is named. */
export const checkSettingsFile = (
  world: Pick<OperatorWorld, 'readFile'>,
  file: string,
  kindName: string | undefined,
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const input = await steps.fromPromise(readDocument(world, file, z.unknown()));
    const kind = DOCUMENT_KINDS.find(({ name, fields }) =>
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
    await steps.fromPromise(readDocument<unknown>(world, file, kind.schema));
    return {
      text: `${file}: no faults (${kind.name})`,
      json: { file, kind: kind.name, faults: [] },
    };
  });
