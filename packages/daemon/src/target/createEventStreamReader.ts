import { createParser } from 'eventsource-parser';
import { newUsage } from './newUsage.js';
import { parseAnswerDocument } from './parseAnswerDocument.js';
import type { UsageReader } from './usageReader.js';

const END_MARK = '[DONE]';

/** Reads a stream of server-sent events. */
export const createEventStreamReader = (): UsageReader => {
  const decoder = new TextDecoder();
  let tokens = 0;
  let usage: ReturnType<typeof newUsage> | undefined;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === END_MARK) {
        return;
      }
      parseAnswerDocument(data).ifJust((document) => {
        const isToken = (document.choices ?? []).some(
          ({ text, delta }) => (text ?? delta?.content ?? '') !== '',
        );
        tokens += isToken ? 1 : 0;
        usage = document.usage ? newUsage(document.usage) : usage;
      });
    },
  });
  return {
    take: (bytes) => {
      const before = tokens;
      parser.feed(decoder.decode(bytes, { stream: true }));
      return tokens - before;
    },
    getUsage: () => usage ?? { prefillTokens: 0, decodeTokens: tokens },
  };
};
