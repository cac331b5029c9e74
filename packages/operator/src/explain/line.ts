import type { z } from 'zod';
import type { logLine } from './logLine.js';

/** A log line as it was read. */
export type Line = z.infer<typeof logLine>;
