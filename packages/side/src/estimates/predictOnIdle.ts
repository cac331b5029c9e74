import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { Work } from '../queue/work.js';
import type { Prediction } from './prediction.js';
import { predictRun } from './predictRun.js';

/** How long the work would take on this target if nothing else ran there. */
export const predictOnIdle = (context: SideContext, state: SideState, work: Work): Prediction =>
  predictRun(state.estimates, work, {
    kind: context.settings.kind,
    prefillTokensAhead: 0,
    runningRequests: state.runs.activeRequests,
    batchSize: 1,
  });
