import { z } from 'zod';
import type { AnswerDescription } from './answerDescription.js';

type CompletionCall = Omit<AnswerDescription, 'requestId'> & { readonly label: string | undefined };

const DEFAULT_ANSWER_TOKENS = 32;
const MAXIMUM_ANSWER_TOKENS = 100_000;

const partSchema = z.object({ text: z.string().default('') });
const contentSchema = z.union([
  z.string(),
  z.array(partSchema).transform((parts) => parts.map(({ text }) => text).join('')),
]);

const bodySchema = z.object({
  model: z.string(),
  prompt: z.string().optional(),
  messages: z.array(z.object({ content: contentSchema })).optional(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().optional(),
  /** `answer_tokens` is the length that the model would choose, `label` the caller's own mark. */
  metadata: z
    .object({
      answer_tokens: z.coerce.number().int().positive().optional(),
      label: z.string().optional(),
    })
    .default({}),
});

/** Reads the body of a completion call; undefined when it is malformed. */
export const readCompletionCall = (
  endpoint: AnswerDescription['endpoint'],
  text: string,
): CompletionCall | undefined => {
  const parsed = bodySchema.safeParse(parseJson(text));
  if (!parsed.success) {
    return undefined;
  }
  const { model, prompt, messages, stream, max_tokens, metadata } = parsed.data;
  const chosenTokens = metadata.answer_tokens ?? max_tokens ?? DEFAULT_ANSWER_TOKENS;
  return {
    endpoint,
    model,
    prompt: prompt ?? (messages ?? []).map(({ content }) => content).join('\n'),
    answerTokens: Math.min(chosenTokens, max_tokens ?? MAXIMUM_ANSWER_TOKENS),
    isStreaming: stream,
    label: metadata.label,
  };
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};
