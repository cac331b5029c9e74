import { createParser } from 'eventsource-parser';
import { countComputedTokens } from './countComputedTokens.js';
import { parseResponseDocument } from './parseResponseDocument.js';
import type { UsageReader } from './usageReader.js';

const END_OF_STREAM = '[DONE]';

/** Creates the usage reader of a stream of server-sent events. */
export const createEventStreamUsageReader = (): UsageReader => {
  const decoder = new TextDecoder();
  let tokens = 0;
  let usage: ReturnType<typeof countComputedTokens> | undefined;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === END_OF_STREAM) {
        return;
      }
      parseResponseDocument(data).ifJust((document) => {
        const hasToken = (document.choices ?? []).some(
          ({ text, delta }) => (text ?? delta?.content ?? '') !== '',
        );
        tokens += hasToken ? 1 : 0;
        usage = document.usage ? countComputedTokens(document.usage) : usage;
      });
    },
  });
  return {
    feed: (bytes) => {
      const tokensBefore = tokens;
      parser.feed(decoder.decode(bytes, { stream: true }));
      return tokens - tokensBefore;
    },
    getUsage: () => usage ?? { prefillTokens: 0, decodeTokens: tokens },
  };
};
