import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { Run } from './run.js';
import type { TargetEvent } from './targetEvent.js';
import { newStep } from '../step/newStep.js';
import { confirmResumed } from './confirmResumed.js';
import { isRunActive } from './isRunActive.js';
import { learnTokens } from './learnTokens.js';
import { relay } from './relay.js';
import { setRun } from './setRun.js';

const appendBytes = (run: Run, event: TargetEvent<'targetBytes'>): Run => {
  const isToken = event.tokens > 0 && run.isStreaming;
  return {
    ...run,
    phase: 'running',
    chunks: run.chunks.push({ offset: run.nextOffset, bytes: event.bytes }),
    nextOffset: run.nextOffset + event.bytes.length,
    tokens: run.tokens + event.tokens,
    isPrefilled: run.isPrefilled || isToken,
    lastTokenAtMs: isToken ? event.nowMs : run.lastTokenAtMs,
  };
};

/** Keeps and relays bytes of an answer, and learns from the time of its tokens. */
export const takeBytes = (
  context: SideContext,
  state: SideState,
  event: TargetEvent<'targetBytes'>,
): SideStep => {
  const run = state.runs.byId.get(event.grantId);
  if (run === undefined || !isRunActive(run)) {
    return newStep(state);
  }
  const isToken = event.tokens > 0 && run.isStreaming;
  const learned = isToken ? learnTokens(context, state, run, event.tokens) : state;
  const { grantId, requestId, nextOffset: offset } = run;
  return newStep(
    { ...learned, runs: setRun(state.runs, appendBytes(run, event)) },
    ...relay(state, run, ...confirmResumed(run), {
      type: 'answerBytes',
      grantId,
      requestId,
      offset,
      bytes: event.bytes,
    }),
  );
};
