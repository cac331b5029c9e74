import type { EntryId } from '@parsleyhall/common';
import type { EntryToSideMessage } from '@parsleyhall/protocol';
import type { Grant } from '../grants/grant.js';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { getGrantCounter } from '../grants/getGrantCounter.js';
import { predictUnderLoad } from '../estimates/predictUnderLoad.js';
import { settleGrant } from '../grants/settleGrant.js';
import { updatePeer } from '../peers/updatePeer.js';
import { newStep } from '../step/newStep.js';
import { sendToEntry } from '../step/sendToEntry.js';
import { answerFate } from './answerFate.js';
import { newRun } from './newRun.js';
import { rememberCalled } from './rememberCalled.js';
import { setRun } from './setRun.js';
import { wasUsed } from './wasUsed.js';

type Give = Extract<EntryToSideMessage, { readonly type: 'give' }>;

const startRun = (context: SideContext, state: SideState, grant: Grant, give: Give): SideState => {
  const { entry, work } = grant.waiting;
  const { grantId, requestId } = give;
  const peer = state.peers.get(entry);
  const prediction = predictUnderLoad(context, state, work);
  const run = newRun({
    grantId,
    requestId,
    work,
    entry,
    entryIncarnation: peer?.incarnation,
    relayConnection: peer?.connection,
    isStreaming: give.call.isStreaming,
    phase: 'running',
    startedAtMs: context.nowMs,
    prefillTokensAhead: state.occupancy.prefillTokensAhead - work.prefillTokens,
    predictedFirstTokenMs: prediction.firstTokenMs,
    predictedFinishMs: prediction.finishMs,
    keptFrom: 0,
  });
  const { lastCounter } = state.grants;
  const forgetAtMs = context.nowMs + context.settings.answerRetentionMs;
  return {
    ...state,
    grants: settleGrant(state.grants, grant, { status: 'used', forgetAtMs }),
    called: rememberCalled(state.called, { requestId, grantId, lastCounter }),
    runs: setRun(state.runs, run),
  };
};

const callTarget = (context: SideContext, state: SideState, grant: Grant, give: Give): SideStep => {
  const { grantId, requestId, call } = give;
  const { entry } = grant.waiting;
  const started = startRun(context, state, grant, give);
  return newStep(
    updatePeer(started, entry, (peer) => ({ ...peer, grants: peer.grants.remove(grantId) })),
    { type: 'callTarget', grantId, requestId, call },
    sendToEntry(entry, { type: 'accepted', grantId, requestId }),
  );
};

/** Runs a given request by its grant, once; a give by any other grant is refused. */
export const useGrant = (
  context: SideContext,
  state: SideState,
  entry: EntryId,
  give: Give,
): SideStep => {
  const { decisions, settings } = context;
  const { grantId, requestId } = give;
  // An earlier incarnation may have accepted it: only the target can tell.
  if (getGrantCounter(settings.incarnation, grantId) === undefined) {
    return answerFate(context, state, { entry, grantId, requestId, fromByte: 0 });
  }
  if (decisions.isAlreadyCalled(state.called, requestId)) {
    const type = wasUsed(state.called, requestId, grantId) ? 'accepted' : 'refused';
    return newStep(state, sendToEntry(entry, { type, grantId, requestId }));
  }
  const grant = state.grants.byId.get(grantId);
  if (grant === undefined || !decisions.isGrantUsable({ grant, requestId, entry })) {
    return newStep(state, sendToEntry(entry, { type: 'refused', grantId, requestId }));
  }
  return callTarget(context, state, grant, give);
};
