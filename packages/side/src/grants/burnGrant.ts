import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { Grant } from './grant.js';
import { updatePeer } from '../peers/updatePeer.js';
import { refundTeam } from '../queue/refundTeam.js';
import { passPrefill } from '../window/passPrefill.js';
import { vacate } from '../window/vacate.js';
import { settleGrant } from './settleGrant.js';

/** The state with an outstanding grant burnt: its room is free and a later give is refused. */
export const burnGrant = (context: SideContext, state: SideState, grant: Grant): SideState => {
  const { work, entry } = grant.waiting;
  const forgetAtMs = context.nowMs + context.settings.answerRetentionMs;
  return updatePeer(
    {
      ...state,
      grants: settleGrant(state.grants, grant, { status: 'burnt', forgetAtMs }),
      occupancy: vacate(passPrefill(state.occupancy, work), work),
      queue: refundTeam(state.queue, work, grant.charge),
    },
    entry,
    (peer) => ({ ...peer, grants: peer.grants.remove(grant.grantId) }),
  );
};
