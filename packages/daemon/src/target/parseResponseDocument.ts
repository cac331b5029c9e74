import { Maybe, Nothing } from 'purify-ts';
import type { z } from 'zod';
import { responseDocumentSchema } from './responseDocumentSchema.js';

/** Parses the text and token counts in an engine's response; Nothing when the document has another form. */
export const parseResponseDocument = (
  text: string,
): Maybe<z.output<typeof responseDocumentSchema>> =>
  Maybe.encase((): unknown => JSON.parse(text)).chain((document) => {
    const parsed = responseDocumentSchema.safeParse(document);
    return parsed.success ? Maybe.of(parsed.data) : Nothing;
  });
