import { z } from 'zod';
import type { ModelCall } from './modelCall.js';

const DEFAULT_DECODE_TOKENS = 256;
const MAX_DECODE_TOKENS = 1_000_000;

const tokens = z.int().min(1).max(MAX_DECODE_TOKENS).nullish();
const contentPart = z.looseObject({ text: z.string().optional() });
const content = z.union([z.string(), z.array(contentPart)]).nullish();
const message = z.looseObject({ role: z.string(), content });
const shared = {
  model: z.string().min(1).max(256),
  max_tokens: tokens,
  max_completion_tokens: tokens,
  stream: z.boolean().nullish(),
};

type Content = z.output<typeof content>;
interface TokenLimits {
  readonly max_tokens?: number | null | undefined;
  readonly max_completion_tokens?: number | null | undefined;
}

const getText = (value: Content): string =>
  typeof value === 'string' ? value : (value ?? []).map(({ text }) => text ?? '').join('\n');

const getDecodeTokens = (tokenLimits: TokenLimits): number =>
  tokenLimits.max_completion_tokens ?? tokenLimits.max_tokens ?? DEFAULT_DECODE_TOKENS;

/** Validates the fields of a model call's body that the scheduler uses; the target validates the rest. */
export const modelCallSchema = {
  chat: z
    .looseObject({ ...shared, messages: z.array(message).min(1) })
    .transform((body): ModelCall => ({
      model: body.model,
      prompt: body.messages.map((each) => getText(each.content)).join('\n'),
      decodeTokens: getDecodeTokens(body),
      isStreaming: body.stream === true,
    })),
  completion: z
    .looseObject({ ...shared, prompt: z.union([z.string(), z.array(z.string()).min(1)]) })
    .transform((body): ModelCall => ({
      model: body.model,
      prompt: typeof body.prompt === 'string' ? body.prompt : body.prompt.join('\n'),
      decodeTokens: getDecodeTokens(body),
      isStreaming: body.stream === true,
    })),
} as const;
