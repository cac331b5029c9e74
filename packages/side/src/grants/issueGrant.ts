import type { TeamName } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { WaitingReservation } from '../queue/waitingReservation.js';
import type { Grant } from './grant.js';
import { chargeTeam } from '../queue/chargeTeam.js';
import { takeFromQueue } from '../queue/takeFromQueue.js';
import { updatePeer } from '../peers/updatePeer.js';
import { noteDeparture } from '../shedding/noteDeparture.js';
import { newStep } from '../step/newStep.js';
import { sendToEntry } from '../step/sendToEntry.js';
import { occupy } from '../window/occupy.js';
import { newGrantId } from './newGrantId.js';

const getWeight = (state: SideState, team: TeamName): number => state.rules.weights.get(team) ?? 1;

const addGrant = (state: SideState, grant: Grant): SideState => {
  const { grantId, expiresAtMs, waiting } = grant;
  return {
    ...state,
    grants: {
      ...state.grants,
      lastCounter: state.grants.lastCounter + 1,
      byId: state.grants.byId.set(grantId, grant),
      byRequest: state.grants.byRequest.set(waiting.requestId, grantId),
      byExpiry: state.grants.byExpiry.with(expiresAtMs, grantId),
    },
    occupancy: occupy(state.occupancy, waiting.work),
    queue: chargeTeam(state.queue, waiting.work, grant.charge),
  };
};

/** Grants room to a waiting reservation. */
export const issueGrant = (
  { settings, nowMs }: SideContext,
  state: SideState,
  waiting: WaitingReservation,
): SideStep => {
  const { entry, requestId, work, tokens } = waiting;
  const grantId = newGrantId(settings.incarnation, state.grants.lastCounter + 1);
  const granted = addGrant(noteDeparture(takeFromQueue(state, waiting), waiting), {
    grantId,
    waiting,
    expiresAtMs: nowMs + settings.grantLeaseMs,
    charge: tokens / getWeight(state, work.team),
    status: 'outstanding',
  });
  return newStep(
    updatePeer(granted, entry, (peer) => ({ ...peer, grants: peer.grants.add(grantId) })),
    sendToEntry(entry, { type: 'grant', grantId, requestId }),
  );
};
