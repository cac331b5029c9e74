export type { SideEffect } from './sideEffect.js';
export type { SideEvent } from './sideEvent.js';
export type { SideSettings } from './sideSettings.js';
