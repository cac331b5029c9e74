import type { z } from 'zod';
import type { logLineSchema } from './logLineSchema.js';

/** A parsed log line. */
export type ParsedLogLine = z.infer<typeof logLineSchema>;
