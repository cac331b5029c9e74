import type { EntryId, GrantId, RequestId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { Run } from './run.js';
import { burnGrant } from '../grants/burnGrant.js';
import { getGrantCounter } from '../grants/getGrantCounter.js';
import { getOutstandingGrant } from '../grants/getOutstandingGrant.js';
import { newStep } from '../step/newStep.js';
import { sendToEntry } from '../step/sendToEntry.js';
import { occupy } from '../window/occupy.js';
import { newRun } from './newRun.js';
import { relay } from './relay.js';
import { relayMessages } from './relayMessages.js';
import { setRun } from './setRun.js';
import { UNKNOWN_WORK } from './unknownWork.js';
import { wasUsed } from './wasUsed.js';

interface FateQuestion {
  readonly entry: EntryId;
  readonly grantId: GrantId;
  readonly requestId: RequestId;
  readonly fromByte: number;
}

const takeUpRun = (state: SideState, run: Run, question: FateQuestion): SideStep => {
  const { entry, grantId, requestId, fromByte } = question;
  const peer = state.peers.get(entry);
  const relayed = {
    ...run,
    entryIncarnation: peer?.incarnation,
    relayConnection: peer?.connection,
  };
  const next = { ...state, runs: setRun(state.runs, relayed) };
  if (run.phase === 'resuming') {
    return newStep(next);
  }
  if (run.phase === 'cancelled' || fromByte < run.keptFrom) {
    return newStep(
      state,
      sendToEntry(entry, { type: 'fate', grantId, requestId, fate: 'unknown' }),
    );
  }
  const fate = run.phase === 'running' ? 'running' : 'done';
  const messages = relayMessages(relayed, fromByte);
  return newStep(
    next,
    ...relay(next, relayed, { type: 'fate', grantId, requestId, fate }, ...messages),
  );
};

const askTarget = (context: SideContext, state: SideState, question: FateQuestion): SideStep => {
  const { entry, grantId, requestId, fromByte } = question;
  const run = newRun({
    grantId,
    requestId,
    work: UNKNOWN_WORK,
    entry,
    entryIncarnation: state.peers.get(entry)?.incarnation,
    relayConnection: state.peers.get(entry)?.connection,
    isStreaming: false,
    phase: 'resuming',
    startedAtMs: context.nowMs,
    prefillTokensAhead: 0,
    predictedFirstTokenMs: 0,
    predictedFinishMs: 0,
    keptFrom: fromByte,
  });
  return newStep(
    {
      ...state,
      runs: setRun(state.runs, run),
      occupancy: occupy(state.occupancy, run.work),
    },
    { type: 'resumeOnTarget', grantId, requestId, fromByte },
  );
};

const answerUnknown = (
  context: SideContext,
  state: SideState,
  question: FateQuestion,
): SideStep => {
  const { entry, grantId, requestId } = question;
  const counter = getGrantCounter(context.settings.incarnation, grantId);
  const fate = context.decisions.fateOfUnknownGrant({
    isOfThisIncarnation: counter !== undefined,
    wasUsed: wasUsed(state.called, requestId, grantId),
    isForgotten: counter !== undefined && counter <= state.called.forgottenUpTo,
  });
  return fate === 'askTarget'
    ? askTarget(context, state, question)
    : newStep(state, sendToEntry(entry, { type: 'fate', grantId, requestId, fate }));
};

/** Tells an entry what became of a grant; a grant that was never used is burnt. */
export const answerFate = (
  context: SideContext,
  state: SideState,
  question: FateQuestion,
): SideStep => {
  const run = state.runs.byId.get(question.grantId);
  if (run?.requestId === question.requestId && run.entry === question.entry) {
    return takeUpRun(state, run, question);
  }
  const grant = getOutstandingGrant(state.grants, question);
  const burnt = grant === undefined ? state : burnGrant(context, state, grant);
  return answerUnknown(context, burnt, question);
};
