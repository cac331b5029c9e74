import type { AnswerDescription } from './answerDescription.js';
import { countTokens } from './countTokens.js';
import { computeResponseSeed } from './computeResponseSeed.js';
import { computeResponseToken } from './computeResponseToken.js';

interface ResponseFormatter {
  readonly contentType: string;
  /** Formats the part of the body that a token adds. */
  readonly formatToken: (tokenIndex: number) => string;
  /** Formats the rest of the body after the last token. */
  readonly formatEnd: (cachedTokens: number) => string;
}

const formatEvent = (value: unknown): string => `data: ${JSON.stringify(value)}\n\n`;

/** Creates the formatter that writes the body of a response token by token. */
export const createResponseFormatter = (description: AnswerDescription): ResponseFormatter => {
  const { requestId, endpoint, model, prompt, answerTokens, isStreaming } = description;
  const seed = computeResponseSeed(requestId, prompt);
  const isChat = endpoint === 'chat';
  const identity = { id: requestId, created: 0, model };
  const promptTokens = countTokens(prompt);
  const getUsage = (cachedTokens: number): unknown => ({
    prompt_tokens: promptTokens,
    completion_tokens: answerTokens,
    total_tokens: promptTokens + answerTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens },
  });

  if (isStreaming) {
    const object = isChat ? 'chat.completion.chunk' : 'text_completion';
    return {
      contentType: 'text/event-stream',
      formatToken: (tokenIndex) => {
        const text = computeResponseToken(seed, tokenIndex);
        const finish_reason = tokenIndex === answerTokens - 1 ? 'stop' : null;
        const choice = isChat
          ? { index: 0, delta: { content: text }, finish_reason }
          : { index: 0, text, finish_reason };
        return formatEvent({ ...identity, object, choices: [choice] });
      },
      formatEnd: (cachedTokens) =>
        `${formatEvent({ ...identity, object, choices: [], usage: getUsage(cachedTokens) })}data: [DONE]\n\n`,
    };
  }

  return {
    contentType: 'application/json',
    formatToken: () => '',
    formatEnd: (cachedTokens) => {
      const tokenIndexes = Array.from({ length: answerTokens }, (_, tokenIndex) => tokenIndex);
      const text = tokenIndexes
        .map((tokenIndex) => computeResponseToken(seed, tokenIndex))
        .join('');
      const choice = isChat
        ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
        : { index: 0, text, finish_reason: 'stop' };
      const object = isChat ? 'chat.completion' : 'text_completion';
      return JSON.stringify({
        ...identity,
        object,
        choices: [choice],
        usage: getUsage(cachedTokens),
      });
    },
  };
};
