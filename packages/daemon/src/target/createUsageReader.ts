import { createEventStreamReader } from './createEventStreamReader.js';
import { createJsonReader } from './createJsonReader.js';
import type { UsageReader } from './usageReader.js';

/** Creates the reader that fits an answer's content type. */
export const createUsageReader = (contentType: string): UsageReader =>
  contentType.startsWith('text/event-stream') ? createEventStreamReader() : createJsonReader();
