import { z } from 'zod';

const count = z.int().min(0);

/** Validates the text and token counts in an engine's response, or in one event of its stream. */
export const responseDocumentSchema = z.object({
  choices: z
    .array(
      z.object({
        text: z.string().nullish(),
        delta: z.object({ content: z.string().nullish() }).nullish(),
      }),
    )
    .nullish(),
  usage: z
    .object({
      prompt_tokens: count,
      completion_tokens: count,
      prompt_tokens_details: z.object({ cached_tokens: count.nullish() }).nullish(),
    })
    .nullish(),
});
