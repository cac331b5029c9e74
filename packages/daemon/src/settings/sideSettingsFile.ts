import type { z } from 'zod';
import type { sideSettingsFileSchema } from './sideSettingsFileSchema.js';

/** Settings of a side process as read from its file, with the defaults filled in. */
export type SideSettingsFile = Readonly<z.output<typeof sideSettingsFileSchema>>;
