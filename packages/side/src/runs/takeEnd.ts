import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { Run } from './run.js';
import type { TargetEvent } from './targetEvent.js';
import { newStep } from '../step/newStep.js';
import { confirmResumed } from './confirmResumed.js';
import { forgetCancelled } from './forgetCancelled.js';
import { isRunActive } from './isRunActive.js';
import { learnEnd } from './learnEnd.js';
import { observeEnd } from './observeEnd.js';
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
    return newStep(forgetCancelled(state, event.grantId));
  }
  const { grantId, requestId, nextOffset: totalBytes } = run;
  const usage = { prefillTokens: event.prefillTokens, decodeTokens: event.decodeTokens };
  const ended: Run = {
    ...run,
    phase: 'done',
    keptUntilMs: context.nowMs + context.settings.answerRetentionMs,
    usage,
  };
  const learned = vacateRun(learnEnd(context, state, run, event.decodeTokens), run);
  return newStep(
    { ...learned, runs: setRun(learned.runs, ended) },
    ...relay(state, run, ...confirmResumed(run), {
      type: 'answerEnd',
      grantId,
      requestId,
      totalBytes,
      ...usage,
    }),
    observeEnd(context, learned, run),
  );
};
