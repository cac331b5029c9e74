import { z } from 'zod';

const count = z.int().min(0);

/** The parts of an engine's answer, or of one event of it, that tell what it cost. */
export const answerDocumentSchema = z.object({
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
