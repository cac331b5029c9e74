import type { z } from 'zod';
import type { answerDocumentSchema } from './answerDocumentSchema.js';

type Usage = NonNullable<z.output<typeof answerDocumentSchema>['usage']>;

/** Tokens that the engine computed: the prompt's less what its cache spared, and the answer's. */
export const newUsage = (
  usage: Usage,
): { readonly prefillTokens: number; readonly decodeTokens: number } => ({
  prefillTokens: Math.max(
    0,
    usage.prompt_tokens - (usage.prompt_tokens_details?.cached_tokens ?? 0),
  ),
  decodeTokens: usage.completion_tokens,
});
