import { z } from 'zod';
import type { AnswerDescription } from './answerDescription.js';

type CompletionRequest = Omit<AnswerDescription, 'requestId'> & {
  readonly label: string | undefined;
};

const DEFAULT_RESPONSE_TOKENS = 32;
const MAX_RESPONSE_TOKENS = 100_000;

const contentPartSchema = z.object({ text: z.string().default('') });
const contentSchema = z.union([
  z.string(),
  z.array(contentPartSchema).transform((parts) => parts.map(({ text }) => text).join('')),
]);

const bodySchema = z.object({
  model: z.string(),
  prompt: z.string().optional(),
  messages: z.array(z.object({ content: contentSchema })).optional(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().optional(),
  /**
   * `answer_tokens` is the length at which the model would stop; `label` identifies the request in
   * the statistics.
   */
  metadata: z
    .object({
      answer_tokens: z.coerce.number().int().positive().optional(),
      label: z.string().optional(),
    })
    .default({}),
});

/** Parses the body of a completion request. Returns undefined when it is malformed. */
export const readCompletionRequest = (
  endpoint: AnswerDescription['endpoint'],
  bodyText: string,
): CompletionRequest | undefined => {
  const parsed = bodySchema.safeParse(parseJson(bodyText));
  if (!parsed.success) {
    return undefined;
  }
  const { model, prompt, messages, stream, max_tokens, metadata } = parsed.data;
  const requestedTokens = metadata.answer_tokens ?? max_tokens ?? DEFAULT_RESPONSE_TOKENS;
  return {
    endpoint,
    model,
    prompt: prompt ?? (messages ?? []).map(({ content }) => content).join('\n'),
    answerTokens: Math.min(requestedTokens, max_tokens ?? MAX_RESPONSE_TOKENS),
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
