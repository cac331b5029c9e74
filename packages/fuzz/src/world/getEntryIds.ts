import type { EntryId } from '@parsleyhall/common';
import { WORLD_SETTINGS } from './worldSettings.js';

/** The ids of the world's entries. */
export const getEntryIds = (): readonly EntryId[] =>
  Array.from({ length: WORLD_SETTINGS.entries }, (_, index) => `entry-${index}` as EntryId);
