import { Either } from 'purify-ts';
import type { z } from 'zod';
import { checkDocument } from '@parsleyhall/configuration';
import type { DocumentFault } from '@parsleyhall/configuration';

const parseJson = (text: string): Either<readonly DocumentFault[], unknown> =>
  Either.encase((): unknown => JSON.parse(text)).mapLeft((error) => [
    { path: '', found: 'text that is not JSON', allowed: `a JSON document (${error.message})` },
  ]);

/** Validates the text of a settings file; returns all its faults together. */
export const checkSettings = <Settings>(
  schema: z.ZodType<Settings>,
  text: string,
): Either<readonly DocumentFault[], Settings> =>
  parseJson(text).chain((document) => checkDocument(schema, document));
