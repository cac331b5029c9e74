import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { Run } from './run.js';
import type { TargetEvent } from './targetEvent.js';
import { newStep } from '../step/newStep.js';
import { isRunActive } from './isRunActive.js';
import { relay } from './relay.js';
import { setRun } from './setRun.js';
import { vacateRun } from './vacateRun.js';

/** Ends a run whose answer is whole; the answer is kept until it is acknowledged. */
export const takeEnd = (
  context: SideContext,
  state: SideState,
  event: TargetEvent<'targetEnd'>,
): SideStep => {
  const run = state.runs.byId.get(event.grantId);
  if (run === undefined || !isRunActive(run)) {
    return newStep(state);
  }
  const { grantId, requestId, nextOffset: totalBytes } = run;
  const usage = { prefillTokens: event.prefillTokens, decodeTokens: event.decodeTokens };
  const ended: Run = { ...run, phase: 'done', endedAtMs: context.nowMs, usage };
  const vacated = vacateRun(state, run);
  return newStep(
    { ...vacated, runs: setRun(vacated.runs, ended) },
    ...relay(state, run, { type: 'answerEnd', grantId, requestId, totalBytes, ...usage }),
  );
};
