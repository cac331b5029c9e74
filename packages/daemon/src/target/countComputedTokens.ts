import type { z } from 'zod';
import type { responseDocumentSchema } from './responseDocumentSchema.js';

type Usage = NonNullable<z.output<typeof responseDocumentSchema>['usage']>;

/** Counts the tokens that the engine computed: the prompt's, less those that its cache supplied, and the completion's. */
export const countComputedTokens = (
  usage: Usage,
): { readonly prefillTokens: number; readonly decodeTokens: number } => ({
  prefillTokens: Math.max(
    0,
    usage.prompt_tokens - (usage.prompt_tokens_details?.cached_tokens ?? 0),
  ),
  decodeTokens: usage.completion_tokens,
});
