import { Maybe, Nothing } from 'purify-ts';
import type { z } from 'zod';
import { answerDocumentSchema } from './answerDocumentSchema.js';

/** Parses what an engine says of an answer's cost; nothing when the text says none. */
export const parseAnswerDocument = (text: string): Maybe<z.output<typeof answerDocumentSchema>> =>
  Maybe.encase((): unknown => JSON.parse(text)).chain((document) => {
    const checked = answerDocumentSchema.safeParse(document);
    return checked.success ? Maybe.of(checked.data) : Nothing;
  });
