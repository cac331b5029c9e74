import type { z } from 'zod';
import type { engineSettingsSchema } from './engineSettingsSchema.js';

/** Validated settings of the model engine stand-in. */
export type EngineSettings = Readonly<z.output<typeof engineSettingsSchema>>;
