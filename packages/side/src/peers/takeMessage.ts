import { assertNever } from '@parsleyhall/common';
import type { EntryId } from '@parsleyhall/common';
import type { EntryToSideMessage } from '@parsleyhall/protocol';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { syncConfiguration } from '../configuration/syncConfiguration.js';
import { takeConfiguration } from '../configuration/takeConfiguration.js';
import { declineGrant } from '../grants/declineGrant.js';
import { takeReservation } from '../queue/takeReservation.js';
import { takeWithdrawal } from '../queue/takeWithdrawal.js';
import { acknowledgeEnd } from '../runs/acknowledgeEnd.js';
import { answerFate } from '../runs/answerFate.js';
import { cancelRun } from '../runs/cancelRun.js';
import { useGrant } from '../runs/useGrant.js';
import { newStep } from '../step/newStep.js';
import { takeHello } from './takeHello.js';
import { updatePeer } from './updatePeer.js';

const handleMessage = (
  context: SideContext,
  state: SideState,
  entry: EntryId,
  message: EntryToSideMessage,
): SideStep => {
  switch (message.type) {
    case 'hello':
      return takeHello(context, state, entry, message);
    case 'reserve':
      return takeReservation(context, state, entry, message.reservation);
    case 'withdraw':
      return newStep(takeWithdrawal(context, state, { ...message, entry }));
    case 'give':
      return useGrant(context, state, entry, message);
    case 'gone':
      return newStep(declineGrant(context, state, { ...message, entry }));
    case 'cancel':
      return cancelRun(context, state, { ...message, entry });
    case 'askFate':
      return answerFate(context, state, { ...message, entry });
    case 'acknowledgeEnd':
      return newStep(acknowledgeEnd(state, { ...message, entry }));
    case 'heartbeat':
      return syncConfiguration(state, entry, message.configurationVersion);
    case 'configuration':
      return takeConfiguration(context, state, message.configuration);
    default:
      return assertNever(message);
  }
};

/** Handles a message of a connected entry; what comes late from a closed stream is dropped. */
export const takeMessage = (
  context: SideContext,
  state: SideState,
  entry: EntryId,
  message: EntryToSideMessage,
): SideStep => {
  if (!state.peers.has(entry)) {
    return newStep(state);
  }
  const heard = updatePeer(state, entry, (peer) => ({ ...peer, lastHeardMs: context.nowMs }));
  return handleMessage(context, heard, entry, message);
};
