import type { AnswerDescription } from './answerDescription.js';
import { countTokens } from './countTokens.js';
import { getAnswerSeed } from './getAnswerSeed.js';
import { getAnswerToken } from './getAnswerToken.js';

interface AnswerFormat {
  readonly contentType: string;
  /** The piece of the body that a token adds. */
  readonly formatToken: (place: number) => string;
  /** The rest of the body after the last token. */
  readonly formatEnd: (cachedTokens: number) => string;
}

const formatEvent = (value: unknown): string => `data: ${JSON.stringify(value)}\n\n`;

/** How an answer's body is written, token by token. */
export const formatAnswer = (description: AnswerDescription): AnswerFormat => {
  const { requestId, endpoint, model, prompt, answerTokens, isStreaming } = description;
  const seed = getAnswerSeed(requestId, prompt);
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
      formatToken: (place) => {
        const text = getAnswerToken(seed, place);
        const finish_reason = place === answerTokens - 1 ? 'stop' : null;
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
      const places = Array.from({ length: answerTokens }, (_, place) => place);
      const text = places.map((place) => getAnswerToken(seed, place)).join('');
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
