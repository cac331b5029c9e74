import type { SideId } from '@parsleyhall/common';
import { WORLD_SETTINGS } from './worldSettings.js';

/** The ids of the world's side processes. */
export const getSideIds = (): readonly SideId[] =>
  Array.from({ length: WORLD_SETTINGS.sides }, (_, index) => `side-${index}` as SideId);
