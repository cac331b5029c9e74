import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { Run } from './run.js';
import type { TargetEvent } from './targetEvent.js';
import { newStep } from '../step/newStep.js';
import { passPrefill } from '../window/passPrefill.js';
import { isRunActive } from './isRunActive.js';
import { relay } from './relay.js';
import { setRun } from './setRun.js';

const appendBytes = (run: Run, event: TargetEvent<'targetBytes'>): Run => {
  const hasTokens = event.tokens > 0;
  return {
    ...run,
    phase: 'running',
    chunks: run.chunks.push({ offset: run.nextOffset, bytes: event.bytes }),
    nextOffset: run.nextOffset + event.bytes.length,
    tokens: run.tokens + event.tokens,
    firstTokenAtMs: run.firstTokenAtMs ?? (hasTokens ? event.nowMs : undefined),
    lastTokenAtMs: hasTokens ? event.nowMs : run.lastTokenAtMs,
  };
};

/** Keeps and relays bytes of an answer, and notes when tokens came. */
export const takeBytes = (
  _context: SideContext,
  state: SideState,
  event: TargetEvent<'targetBytes'>,
): SideStep => {
  const run = state.runs.byId.get(event.grantId);
  if (run === undefined || !isRunActive(run)) {
    return newStep(state);
  }
  const longer = appendBytes(run, event);
  const isFirstToken = run.firstTokenAtMs === undefined && longer.firstTokenAtMs !== undefined;
  const { grantId, requestId, nextOffset: offset } = run;
  return newStep(
    {
      ...state,
      runs: setRun(state.runs, longer),
      occupancy: isFirstToken ? passPrefill(state.occupancy, run.work) : state.occupancy,
    },
    ...relay(state, run, { type: 'answerBytes', grantId, requestId, offset, bytes: event.bytes }),
  );
};
