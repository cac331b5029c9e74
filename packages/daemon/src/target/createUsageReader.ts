import { createEventStreamUsageReader } from './createEventStreamUsageReader.js';
import { createJsonUsageReader } from './createJsonUsageReader.js';
import type { UsageReader } from './usageReader.js';

/** Creates the usage reader for a response's content type. */
export const createUsageReader = (contentType: string): UsageReader =>
  contentType.startsWith('text/event-stream')
    ? createEventStreamUsageReader()
    : createJsonUsageReader();
