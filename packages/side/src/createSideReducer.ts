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

// Most events are tokens, which change nothing that a grant depends on but the estimates; those are looked at on ticks.
const isGrantable = (before: SideState, after: SideState): boolean =>
  before.queue !== after.queue ||
  before.occupancy !== after.occupancy ||
  before.window !== after.window;

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
    const mayGrant = event.type === 'tick' || isGrantable(state, handled.state);
    const granted = mayGrant ? andThen(handled, (next) => issueGrants(context, next)) : handled;
    return andThen(granted, (next) => finishStop(context, next));
  };
  return { initialState: newSideState(settings), reduce };
};
