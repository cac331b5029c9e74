import type { z } from 'zod';
import type { routerSettingsFileSchema } from './routerSettingsFileSchema.js';

/** Settings of a router as read from its file, with the defaults filled in. */
export type RouterSettingsFile = Readonly<z.output<typeof routerSettingsFileSchema>>;
