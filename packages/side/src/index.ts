export { createSideReducer } from './createSideReducer.js';
export { DEFAULT_SIDE_DECISIONS } from './defaultSideDecisions.js';
export type { SideDecisions } from './sideDecisions.js';
export type { SideEffect } from './sideEffect.js';
export type { SideEvent } from './sideEvent.js';
export type { SideSettings } from './sideSettings.js';
export type { SideState } from './sideState.js';
