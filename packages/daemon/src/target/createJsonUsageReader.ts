import { countComputedTokens } from './countComputedTokens.js';
import { parseResponseDocument } from './parseResponseDocument.js';
import type { UsageReader } from './usageReader.js';

const MAX_PARSED_BODY_BYTES = 4_194_304;
const NO_USAGE = { prefillTokens: 0, decodeTokens: 0 };

/** Creates the usage reader of a response that is one JSON document; one over the size limit reports no usage. */
export const createJsonUsageReader = (): UsageReader => {
  const chunks: Uint8Array[] = [];
  let length = 0;
  return {
    feed: (bytes) => {
      length += bytes.length;
      if (length <= MAX_PARSED_BODY_BYTES) {
        chunks.push(bytes);
      }
      return 0;
    },
    getUsage: () =>
      length > MAX_PARSED_BODY_BYTES
        ? NO_USAGE
        : parseResponseDocument(Buffer.concat(chunks).toString('utf8'))
            .map(({ usage }) => (usage ? countComputedTokens(usage) : NO_USAGE))
            .orDefault(NO_USAGE),
  };
};
