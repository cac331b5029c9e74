import { newUsage } from './newUsage.js';
import { parseAnswerDocument } from './parseAnswerDocument.js';
import type { UsageReader } from './usageReader.js';

const LARGEST_BODY_BYTES = 4_194_304;
const NO_USAGE = { prefillTokens: 0, decodeTokens: 0 };

/** Reads an answer that is one JSON document; one over the bound tells no usage. */
export const createJsonReader = (): UsageReader => {
  const chunks: Uint8Array[] = [];
  let length = 0;
  return {
    take: (bytes) => {
      length += bytes.length;
      if (length <= LARGEST_BODY_BYTES) {
        chunks.push(bytes);
      }
      return 0;
    },
    getUsage: () =>
      length > LARGEST_BODY_BYTES
        ? NO_USAGE
        : parseAnswerDocument(Buffer.concat(chunks).toString('utf8'))
            .map(({ usage }) => (usage ? newUsage(usage) : NO_USAGE))
            .orDefault(NO_USAGE),
  };
};
