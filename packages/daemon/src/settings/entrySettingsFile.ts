import type { z } from 'zod';
import type { entrySettingsFileSchema } from './entrySettingsFileSchema.js';

/** Settings of an entry as read from its file, with the defaults filled in. */
export type EntrySettingsFile = Readonly<z.output<typeof entrySettingsFileSchema>>;
