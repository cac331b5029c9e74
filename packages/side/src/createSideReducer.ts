import type { Reducer } from '@parsleyhall/common';
import type { SideDecisions } from './sideDecisions.js';
import type { SideEffect } from './sideEffect.js';
import type { SideEvent } from './sideEvent.js';
import type { SideSettings } from './sideSettings.js';
import type { SideState } from './sideState.js';
import { DEFAULT_SIDE_DECISIONS } from './defaultSideDecisions.js';
import { handleEvent } from './handleEvent.js';
import { newSideState } from './newSideState.js';
import { expireGrants } from './grants/expireGrants.js';
import { issueGrants } from './grants/issueGrants.js';
import { finishStop } from './leaving/finishStop.js';
import { andThen } from './step/andThen.js';

/** The reducer of a side process and the state of its new incarnation. */
export const createSideReducer = (
  settings: SideSettings,
  replacements: Partial<SideDecisions> = {},
): {
  readonly initialState: SideState;
  readonly reduce: Reducer<SideState, SideEvent, SideEffect>;
} => {
  const decisions = { ...DEFAULT_SIDE_DECISIONS, ...replacements };
  const reduce: Reducer<SideState, SideEvent, SideEffect> = (state, event) => {
    const context = { settings, decisions, nowMs: event.nowMs };
    const expired = expireGrants(context, state);
    const handled = andThen(expired, (next) => handleEvent(context, next, event));
    const granted = andThen(handled, (next) => issueGrants(context, next));
    return andThen(granted, (next) => finishStop(context, next));
  };
  return { initialState: newSideState(settings), reduce };
};
