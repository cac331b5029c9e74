import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { WindowObservation } from './windowObservation.js';

type Sight = WindowObservation extends infer Observation
  ? Observation extends WindowObservation
    ? Omit<
        Observation,
        'nowMs' | 'occupancy' | 'estimates' | 'maximumRequests' | 'betweenTokensBoundMs'
      >
    : never
  : never;

/** The state with the window learned from what was just seen. */
export const observeWindow = (context: SideContext, state: SideState, sight: Sight): SideState => {
  const observation = {
    ...sight,
    nowMs: context.nowMs,
    occupancy: state.occupancy,
    estimates: state.estimates,
    maximumRequests: context.settings.maximumWindowRequests,
    betweenTokensBoundMs: state.rules.betweenTokensBoundMs,
  };
  const window = context.decisions.updateWindow(state.window, observation);
  return window === state.window ? state : { ...state, window };
};
