import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { Work } from '../queue/work.js';
import type { Prediction } from './prediction.js';
import { predictRun } from './predictRun.js';

/** How long the work would take if it were started now while the window fills up. */
export const predictUnderLoad = (context: SideContext, state: SideState, work: Work): Prediction =>
  predictRun(state.estimates, work, {
    kind: context.settings.kind,
    prefillTokensAhead: state.occupancy.prefillTokensAhead,
    runningRequests: state.runs.activeRequests,
    batchSize: Math.max(state.occupancy.requests + 1, Math.floor(state.window.requests)),
  });
