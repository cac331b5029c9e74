import { WORLD_SETTINGS } from './worldSettings.js';

/** True for the side processes whose target is an engine: the first half. */
export const isEngineSide = (index: number): boolean => index < WORLD_SETTINGS.sides / 2;
